import type { HardState, LogEntry, LogPayload, Snapshot } from "@kumquathall/types";

export const Role = {
    Follower: "follower",
    PreCandidate: "preCandidate",
    Candidate: "candidate",
    Leader: "leader",
} as const;
export type RoleValue = (typeof Role)[keyof typeof Role];

/** Timing and bounds. All durations in milliseconds on the monotonic clock. */
export interface ConsensusOptions {
    /** A follower that heard no leader for between one and two of these stands for election. */
    electionTimeoutMs: number;
    heartbeatMs: number;
    /** How long the leader may act after the send time of a heartbeat that a majority answered; below the election timeout. */
    leaseMs: number;
    /** Entries in one append message. */
    maxEntriesPerAppend: number;
    /** Guards that the model checker switches off to see that it notices; never set in a product. */
    disabledGuard?: string;
}

export const DEFAULT_CONSENSUS_OPTIONS: ConsensusOptions = {
    electionTimeoutMs: 600,
    heartbeatMs: 100,
    leaseMs: 450,
    maxEntriesPerAppend: 256,
};

/** What the leader knows of one other member. */
export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** Send time of the newest append that the member has answered in this term. */
    answeredSentAt: number;
    /** A snapshot is on its way; no appends until then. */
    snapshotSentAt: number | undefined;
}

/** State of one member. Never changed in place. */
export interface ConsensusState<Payload> {
    id: string;
    hardState: HardState;
    role: RoleValue;
    leaderId: string | undefined;
    /** Index and term of the newest entry that the snapshot covers, and the members at that point. */
    snapshotIndex: number;
    snapshotTerm: number;
    snapshotMembers: readonly string[];
    /** Entries after the snapshot. */
    entries: readonly LogEntry<Payload>[];
    commitIndex: number;
    /** Highest index synced on this member's own disk. */
    durableIndex: number;
    electionDeadline: number;
    /** No vote is given before this time, since a leader may hold a lease that counts on it. */
    noVoteUntil: number;
    votes: readonly string[];
    peers: Readonly<Record<string, PeerProgress>>;
    heartbeatDue: number;
    /** On a leader: when the term began, for the check that a majority still answers. */
    leaderSince: number;
}

export type ConsensusMessage<Payload> =
    | { kind: "preVote" | "vote"; term: number; lastIndex: number; lastTerm: number }
    | { kind: "preVoteAnswer" | "voteAnswer"; term: number; isGranted: boolean }
    | {
        kind: "append";
        term: number;
        previousIndex: number;
        previousTerm: number;
        entries: LogEntry<Payload>[];
        commitIndex: number;
        /** Leader's monotonic time when it sent this; echoed in the answer. */
        sentAt: number;
    }
    | {
        kind: "appendAnswer";
        term: number;
        isAccepted: boolean;
        /** Accepted: the newest index known equal to the leader's. Rejected: where the leader should try next. */
        matchIndex: number;
        sentAt: number;
    }
    | { kind: "snapshot"; term: number; snapshot: Snapshot; sentAt: number };

export type ConsensusEvent<Payload> =
    /** Time passed. `random` in [0, 1) spreads election timeouts. */
    | { kind: "tick"; now: number; random: number }
    | { kind: "receive"; now: number; random: number; from: string; message: ConsensusMessage<Payload> }
    | { kind: "propose"; now: number; payload: LogPayload<Payload> }
    /** The member's own disk holds everything up to this index, written in this term. */
    | { kind: "persisted"; now: number; index: number; term: number }
    /** The state machine stored a snapshot; entries up to its index may go. */
    | { kind: "compacted"; index: number };

export type ConsensusEffect<Payload> =
    /** Must be synced before any later effect of the same step leaves the member. */
    | { kind: "persist"; hardState: HardState | undefined; entries: LogEntry<Payload>[] }
    | { kind: "send"; to: string; message: ConsensusMessage<Payload> }
    /** The peer needs entries that are gone: the runtime sends its newest snapshot. */
    | { kind: "sendSnapshot"; to: string; term: number; sentAt: number }
    | { kind: "installSnapshot"; snapshot: Snapshot }
    /** A proposal got this place in the log, or was turned away. */
    | { kind: "proposed"; index: number; term: number }
    | { kind: "notLeader"; leaderId: string | undefined }
    | { kind: "roleChanged"; role: RoleValue; term: number };
