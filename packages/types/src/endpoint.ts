/** What endpoints and the sidecars beside them say, as control members pass it on. */

export const EngineGroupState = {
    Joining: "joining",
    Ready: "ready",
    Open: "open",
    Closing: "closing",
    Broken: "broken",
} as const;
export type EngineGroupStateValue = (typeof EngineGroupState)[keyof typeof EngineGroupState];

/** An engine's place in a replica group. Rank 0 is the head. */
export interface EngineMembership {
    name: string;
    epoch: number;
    rank: number;
    state: EngineGroupStateValue;
}

/** State of one engine as it reports it. */
export interface EngineStatus {
    /** Count of orders accepted since the engine's start; guards the next order. */
    orderSequence: number;
    /** An order is in progress. */
    isBusy: boolean;
    running: number;
    waiting: number;
    kvUsedTokens: number;
    kvTotalTokens: number;
    /** Factor by which the engine is slower than its profile. */
    pace: number;
    models: string[];
    /** Models in the host's memory. */
    staged: string[];
    fabricDomain: string;
    group: EngineMembership | undefined;
}

/** An endpoint says that it is there. Ordered by `bornMs`, then `sequence`. */
export interface HeartbeatFact {
    kind: "heartbeat";
    id: string;
    service: string;
    /** host:port */
    address: string;
    dataCentre: string;
    slots: number;
    isLeaving: boolean;
    /** Start of this incarnation, Unix milliseconds. */
    bornMs: number;
    sequence: number;
    engine: EngineStatus | undefined;
}

/** An endpoint is leaving for good: its incarnations born up to `bornMs` get nothing more, and end what they run. */
export interface DepartureFact {
    kind: "departure";
    id: string;
    bornMs: number;
}

/** A sidecar's view of its endpoint. Ordered by the observer's start, then its number. */
export interface ObservationFact {
    kind: "observation";
    address: string;
    observerStartedMs: number;
    number: number;
    isReachable: boolean;
    /** Start of the incarnation that answered last; 0 if none has. */
    bornMs: number;
    engine: EngineStatus | undefined;
}

/** An endpoint ended while it ran a request. */
export interface CrashFact {
    kind: "crash";
    /** Digest of the request's account, method, path and body: the same for each time it is sent. */
    fingerprint: string;
    /** The incarnation that ended: its id and start. */
    endpoint: string;
}

export type EndpointFact = HeartbeatFact | DepartureFact | ObservationFact | CrashFact;

/** One order to an engine. `expectedSequence` makes a late or doubled order change nothing. */
export type EngineOrder =
    & { expectedSequence: number; fence: number }
    & (
        | { kind: "join"; group: string; epoch: number; model: string; members: string[] }
        | { kind: "open" | "leave"; group: string; epoch: number }
        | { kind: "stage"; model: string }
    );

/** Control asks the sidecar at an endpoint's address to carry an order. */
export interface OrderMessage {
    kind: "order";
    address: string;
    bornMs: number;
    order: EngineOrder;
}
