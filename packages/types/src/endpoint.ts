/** Facts about endpoints, as endpoints and their sidecars report them and control members forward them. */

export const EngineGroupState = {
    Joining: "joining",
    Ready: "ready",
    Open: "open",
    Closing: "closing",
    Broken: "broken",
} as const;
export type EngineGroupStateValue = (typeof EngineGroupState)[keyof typeof EngineGroupState];

/** An engine's membership in a replica group. Rank 0 is the head. */
export interface EngineMembership {
    name: string;
    epoch: number;
    rank: number;
    state: EngineGroupStateValue;
}

/** State of one engine, as the engine reports it. */
export interface EngineStatus {
    /** Number of orders accepted since the engine's start; the next order must carry it as `expectedSequence`. */
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
    /** Models whose weights are in the host's memory. */
    staged: string[];
    fabricDomain: string;
    group: EngineMembership | undefined;
}

/** Periodic report by an endpoint that it is running. Ordered by `bornMs`, then `sequence`. */
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
    /** Time for which the endpoint stays cold, in milliseconds; not set if it reports none. */
    coldMs?: number;
}

/**
 * An endpoint leaves permanently: incarnations started up to `bornMs` receive no new requests and finish theirs. The
 * endpoint has deregistered itself, or a gateway has received a response that says so.
 */
export interface DepartureFact {
    kind: "departure";
    id: string;
    bornMs: number;
}

/** A sidecar's observation of its endpoint. Ordered by `observerStartedMs`, then `number`. */
export interface ObservationFact {
    kind: "observation";
    address: string;
    observerStartedMs: number;
    number: number;
    isReachable: boolean;
    /** Start of the incarnation that answered last, Unix milliseconds; 0 if none has answered. */
    bornMs: number;
    engine: EngineStatus | undefined;
    /** Time for which the endpoint stays cold, in milliseconds; not set if it reports none. */
    coldMs?: number;
}

export type EndpointFact = HeartbeatFact | DepartureFact | ObservationFact;

/** One order to an engine. A late or duplicate order has no effect, since its `expectedSequence` no longer matches. */
export type EngineOrder =
    & { expectedSequence: number; fence: number }
    & (
        | { kind: "join"; group: string; epoch: number; model: string; members: string[] }
        | { kind: "open" | "leave"; group: string; epoch: number }
        | { kind: "stage"; model: string }
    );

/** Sent by control to the sidecar of the endpoint at `address`, which forwards the order to the engine. */
export interface OrderMessage {
    kind: "order";
    address: string;
    bornMs: number;
    order: EngineOrder;
}
