import type { HardState, LogEntry, LogPayload, Snapshot } from "@kumquathall/types";

export const Role = {
    Follower: "follower",
    PreCandidate: "preCandidate",
    Candidate: "candidate",
    Leader: "leader",
} as const;
export type RoleValue = (typeof Role)[keyof typeof Role];

/** Timing and limits. All durations are in milliseconds on the monotonic clock. */
export interface ConsensusOptions {
    /** A follower starts an election after a random time between one and two of these without an append. */
    electionTimeoutMs: number;
    heartbeatMs: number;
    /** Lease duration, from the send time of an append that a majority answered; below the election timeout. */
    leaseMs: number;
    /** Most entries in one append message. */
    maxEntriesPerAppend: number;
    /** Most bytes of entries in one append message, unless its only entry is larger. */
    maxBytesPerAppend: number;
    /** Returns the encoded size of an entry's payload, in bytes; without it, `maxBytesPerAppend` has no effect. */
    measurePayload?: (payload: LogPayload<unknown>) => number;
    /** Safety check that the model checker skips to verify that it finds the violation; never set in production. */
    disabledGuard?: string;
}

export const DEFAULT_CONSENSUS_OPTIONS: ConsensusOptions = {
    electionTimeoutMs: 600,
    heartbeatMs: 100,
    leaseMs: 450,
    maxEntriesPerAppend: 256,
    maxBytesPerAppend: 1024 * 1024,
};

/** Replication progress of one other member or learner, as tracked by the leader. */
export interface PeerProgress {
    nextIndex: number;
    matchIndex: number;
    /** Send time of the newest append that the member has answered in this term. */
    answeredSentAt: number;
    /** Send time of a snapshot that is not answered yet; while it is set, a rejected append is not retried at once. */
    snapshotSentAt: number | undefined;
}

/** State of one member. Immutable. */
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
    /** On a leader: processes that are no members and receive the log; they neither vote nor count as copies. */
    learners: readonly string[];
    /** Highest index synced on this member's own disk. */
    durableIndex: number;
    electionDeadline: number;
    /** No vote is granted before this time, since a leader's lease may depend on it. */
    noVoteUntil: number;
    votes: readonly string[];
    peers: Readonly<Record<string, PeerProgress>>;
    heartbeatDue: number;
    /** On a leader: when it was elected; the quorum check counts from then until a majority has answered. */
    leaderSince: number;
    /** Only answers to appends sent from this time on count towards the leader's lease. */
    leaseSince: number;
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
        /** Leader's monotonic time of sending; echoed in the answer. */
        sentAt: number;
    }
    | {
        kind: "appendAnswer";
        term: number;
        isAccepted: boolean;
        /** Accepted: newest index at which the log matches the leader's. Rejected: newest index that may match. */
        matchIndex: number;
        sentAt: number;
    }
    | { kind: "snapshot"; term: number; snapshot: Snapshot; sentAt: number };

export type ConsensusEvent<Payload> =
    /** Timer tick. `random` in [0, 1) spreads election timeouts. */
    | { kind: "tick"; now: number; random: number }
    | { kind: "receive"; now: number; random: number; from: string; message: ConsensusMessage<Payload> }
    | { kind: "propose"; now: number; payload: LogPayload<Payload> }
    /** The leader sends the log to these processes beside its members, in place of those named before. */
    | { kind: "learners"; now: number; learners: readonly string[] }
    /** The log is synced on this member's disk up to the entry with this index and term. */
    | { kind: "persisted"; now: number; index: number; term: number }
    /** The monotonic clock may have stood still, so that no lease that began earlier can be relied on. */
    | { kind: "suspended"; now: number }
    /** A snapshot is stored; entries up to this index may be removed. */
    | { kind: "compacted"; index: number };

export type ConsensusEffect<Payload> =
    /** Must be synced before any later effect of the same step is carried out. */
    | { kind: "persist"; hardState: HardState | undefined; entries: LogEntry<Payload>[] }
    | { kind: "send"; to: string; message: ConsensusMessage<Payload> }
    /** The peer needs entries that were compacted; the runtime sends its newest snapshot instead. */
    | { kind: "sendSnapshot"; to: string; term: number; sentAt: number }
    | { kind: "installSnapshot"; snapshot: Snapshot }
    /** The proposal was appended at this index. */
    | { kind: "proposed"; index: number; term: number }
    /** The proposal was refused: this member does not lead, or the change of members is not allowed now. */
    | { kind: "notLeader"; leaderId: string | undefined }
    | { kind: "roleChanged"; role: RoleValue; term: number };
