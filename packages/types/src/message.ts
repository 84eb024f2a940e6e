/** Messages between processes, other than consensus messages. */
import type { AuditRecord } from "./audit.js";
import type { Command, CommandResult, HeaderField } from "./command.js";
import type { ConfigurationUpdate, FencingNumber, Revision, VmAttributes } from "./configuration.js";
import type { EndpointFact } from "./endpoint.js";
import type { PermitGrant, PermitWant } from "./limit.js";

/** Load that an agent reports for its endpoint. */
export interface LoadReport {
    running: number;
    queued: number;
    /** Age of the engine's figures, in milliseconds. */
    ageMs: number;
    /** Hashes of the prompt prefixes in the engine's cache. */
    cachedPrefixes: string[];
    /** Sequence number of the newest cache event included; after a gap the receiver must replace the whole list. */
    cacheSequence: number;
}

/** Sent by an agent to an entry when it connects and when one of these fields changes. */
export interface AnnounceMessage {
    kind: "announce";
    vm: string;
    incarnation: string;
    attributes: VmAttributes;
    isLeaving: boolean;
}

/** Calls to a control member. */
export type ControlCall =
    | { kind: "propose"; command: Command }
    | { kind: "query"; query: ControlQuery }
    /** Asks for the member's configuration revision, and for a {@link RevisionCast} after each change of it. */
    | { kind: "watchRevision" }
    /**
     * Reads the changes after a revision, of all entries or of those whose keys begin with one of `keyPrefixes`. Members of
     * earlier builds know only `keyPrefix`, which applies if `keyPrefixes` is absent.
     */
    | { kind: "readConfiguration"; since: Revision; keyPrefix?: string; keyPrefixes?: string[] }
    /** Asks for membership in the control group. Like `members`, it is answered with the current members. */
    | { kind: "join"; member: string }
    | { kind: "members" }
    /**
     * Tells a member that the newest incarnation of an endpoint leaves; only members know which that is. The endpoint has said
     * so within the last `ageMs` milliseconds.
     */
    | { kind: "depart"; id: string; ageMs?: number }
    /** Reads the traffic configuration from the leader, confirmed by a majority. */
    | { kind: "readTraffic" }
    /** Asks for all current facts about endpoints and subscribes to later ones. */
    | { kind: "watchEndpoints" }
    /** Asks the leader for permits to send requests to endpoints that limit them. */
    | { kind: "takePermits"; wants: PermitWant[] }
    /** Asks for the revision of the newest configuration change in this member's log; see {@link VouchAnswer}. */
    | { kind: "vouch" }
    /** An entry reports the agents that connected and disconnected: all agents if `isFull`, otherwise the changes. */
    | {
        kind: "presence";
        entry: string;
        incarnation: string;
        sequence: number;
        isFull: boolean;
        up: PresenceItem[];
        down: string[];
        demands: CapacityDemand[];
    };

/** Tells a watching process that the member's configuration has reached a revision; the process reads the changes. */
export interface RevisionCast {
    kind: "revision";
    revision: Revision;
}

/** An entry's demand for one service's declared capacity. */
export interface CapacityDemand {
    /** `institution/service`. */
    service: string;
    /** Requests in flight and waiting at the entry. */
    demand: number;
    /** Declared concurrent requests in the entry's configuration. */
    capacity: number;
}

/** The part of one service's capacity that an entry may use until its next presence call or the share's lease ends. */
export interface CapacityShare {
    service: string;
    limit: number;
}

export interface PresenceItem {
    vm: string;
    incarnation: string;
    attributes: VmAttributes;
}

export type ControlQuery =
    | { kind: "status" }
    | { kind: "audit"; limit: number };

/** Answers of a control member. */
export type ControlAnswer =
    | { kind: "result"; result: CommandResult }
    | { kind: "notLeader"; leader: string | undefined }
    | { kind: "unavailable"; message: string }
    | { kind: "vouch"; vouch: VouchAnswer }
    | MembersAnswer
    /** Start of the incarnation that leaves, in Unix milliseconds; `undefined` if no further endpoint may be known. */
    | { kind: "departed"; bornMs: number | undefined }
    | { kind: "traffic"; document: string | undefined }
    | { kind: "endpoints"; facts: EndpointFact[] }
    | { kind: "permits"; grants: PermitGrant[] }
    | { kind: "revision"; revision: Revision }
    | { kind: "update"; update: ConfigurationUpdate }
    | { kind: "status"; status: ControlStatus }
    | { kind: "audit"; records: AuditRecord[] }
    | { kind: "presence"; wantsFull: boolean; shares: CapacityShare[] };

/** The control members that a control process knows. */
export interface MembersAnswer {
    kind: "members";
    /** Ids of the members: as in its log if it is a member, else as members have listed them. */
    members: string[];
    /** Number of gateways linked to it. */
    gateways: number;
    /** Whether it is a member according to its log. Absent in answers of earlier builds, which list only their log's. */
    isMember?: boolean;
    /** Index up to which its log is committed, as far as it knows. Absent in answers of earlier builds. */
    committedIndex?: number;
}

/**
 * Confirms that the member's log holds no configuration change with an index above `accepted`. Such confirmations from
 * a majority, none with an `accepted` above the reader's revision, renew the reader's configuration lease.
 */
export interface VouchAnswer {
    member: string;
    members: string[];
    accepted: Revision;
}

/** State of the control group and the totals of each institution, as `kumquathall status` shows them. */
export interface ControlStatus {
    leader: string;
    term: number;
    revision: Revision;
    members: string[];
    groupDowntimeSeconds: { institution: string; seconds: number }[];
    strandedAcceleratorHours: { institution: string; hours: number }[];
    strandedAccelerators: number;
    logEntries: number;
    ledgerKeys: number;
    /** Absent in answers of earlier builds. */
    evacuatedDataCentres?: string[];
}

/** Sent by an entry to an agent to run one request. */
export interface RunMessage {
    kind: "run";
    requestId: string;
    institution: string;
    service: string;
    groupId: string | undefined;
    fencing: FencingNumber | undefined;
    /** Time until the request's deadline when this was sent, in milliseconds. */
    remainingMs: number;
    priority: number;
    method: string;
    path: string;
    headers: HeaderField[];
    body: Uint8Array;
    isStream: boolean;
    /** Set for a non-idempotent request. */
    ledgerKey: string | undefined;
    digest: string;
    fingerprint: string;
    /** The request was in flight when an engine crashed; an agent runs such suspects one at a time. */
    isSuspect: boolean;
    /** Flow control: bytes of answer that the agent may send before it receives more credit. */
    credit: number;
}

/** Messages from an entry to an agent about one request. */
export type EntryToAgent =
    | RunMessage
    | { kind: "runCredit"; requestId: string; bytes: number }
    | { kind: "runCancel"; requestId: string }
    /** The entry has received these answers completely, so the agent can drop its copies. */
    | { kind: "runTaken"; requestIds: string[] }
    /** Resumes the answer of a running request on a new connection, from chunk `fromSequence` on. */
    | { kind: "runAttach"; requestId: string; fromSequence: number; credit: number };

/** Why an agent did not run a request. */
export type RunRefusal = { code: string; message: string; retryAfterMs: number | undefined };

/** Messages from an agent to an entry about one request. */
export type AgentToEntry =
    | { kind: "runStart"; requestId: string; status: number; headers: HeaderField[] }
    | { kind: "runChunk"; requestId: string; sequence: number; data: Uint8Array }
    /** Final frame: `chunks` and `digest` cover the whole answer. */
    | { kind: "runEnd"; requestId: string; chunks: number; digest: string }
    /** A complete short answer in one frame. */
    | { kind: "runWhole"; requestId: string; status: number; headers: HeaderField[]; data: Uint8Array; digest: string }
    /** The agent guarantees that it has not started the request and will not start it. */
    | { kind: "runRefused"; requestId: string; refusal: RunRefusal }
    /** The request was started and failed; it may have had effects. */
    | { kind: "runBroken"; requestId: string; code: string; message: string };

/** Other messages between agents and entries. */
export type AgentCall =
    | AnnounceMessage
    | { kind: "configuration"; since: Revision; vm: string }
    | { kind: "control"; call: ControlCall };

/** An entry's answer to an agent's `configuration` call. */
export interface ConfigurationAnswer {
    update: ConfigurationUpdate;
    /** Remaining time of the entry's own configuration lease, in milliseconds. */
    leaseMs: number;
}

/** Sent by the head of a group to a member to obtain or renew the member's lease. */
export interface LeaseCall {
    kind: "lease";
    groupId: string;
    fencing: FencingNumber;
}

/** A member's answer. A granted lease runs from the time at which the head sent the call. */
export interface LeaseAnswer {
    isGranted: boolean;
    incarnation: string;
    reason: string;
}
