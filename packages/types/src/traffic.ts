/** Traffic configuration: routes, services, limits and accounts, which an operator sends as one document. */

/** Whether the requests of a route may run more than once. */
export const RequestKind = {
    /** May run more than once. */
    Idempotent: "idempotent",
    /** Runs at most once. */
    NonIdempotent: "non-idempotent",
    /** Answered by a stream of events; repeatable only if the route is resumable. */
    Streaming: "streaming",
} as const;
export type RequestKindValue = (typeof RequestKind)[keyof typeof RequestKind];

/** One route: requests of a host below a path prefix. */
export interface TrafficRoute {
    name: string;
    host: string;
    /** Begins and ends with a slash; the longest prefix that matches a path is used. */
    pathPrefix: string;
    kind: RequestKindValue;
    /** Time within which the answer must be complete, in milliseconds. */
    timeoutMs: number;
    /** Latency objective for the answer, or for the first event of a stream, in milliseconds. */
    objectiveMs: number;
    /** Latency objective for the interval between two events of a stream, in milliseconds. */
    gapObjectiveMs: number | undefined;
    /** 0 is the most urgent. */
    priority: number;
    targets: { service: string; weight: number }[];
    /** Maximum number of endpoints that may run one request, counting retries. */
    maxEndpoints: number;
    /** Whether requests are accepted without a client account's key. */
    isPublic: boolean;
    isResumable: boolean;
    /** Regions in which requests may run; absent if they may run in all. */
    allowedRegions?: string[];
}

/** One model that an engine service offers, and the shape of its replica groups. */
export interface EngineModelProfile {
    name: string;
    /** VMs in one replica group. */
    groupSize: number;
    /** Fraction of the service's work that this model does, 0 to 1. */
    share: number;
    /** Factor by which the step and prefill times of its groups are multiplied. */
    pace: number;
    /** Time to load the weights from the weight store, in milliseconds. */
    loadMs: number;
    /** Time to load the weights from the host's memory, in milliseconds. */
    warmMs: number;
}

/** Published timing and limits of a service's engines. */
export interface EngineProfile {
    /** Requests that one group runs at a time. */
    slots: number;
    kvCapacityTokens: number;
    /** Decoding steps in one pass. */
    stride: number;
    stepMs: number;
    perSequenceMs: number;
    /** Time added to a step for each thousand tokens of context, in milliseconds. */
    contextMsPerThousand: number;
    prefillTokensPerSecond: number;
    /** Prefill time for a million pairs of a prompt token and an earlier token, in milliseconds. */
    pairsMsPerMillion: number;
    /** Maximum number of prompt tokens processed in one step. */
    prefillChunkTokens: number;
    loadsPerSecond: number;
    maxConcurrentLoads: number;
    usualPromptTokens: number;
    usualAnswerTokens: number;
    /** Time from the `open` order until the head serves, in milliseconds. */
    formationMs: number;
    models: EngineModelProfile[];
}

export interface TrafficService {
    name: string;
    /** Maximum number of connections that one endpoint accepts from all callers together. */
    maxConnections: number;
    engine: EngineProfile | undefined;
    /** Not set if the service declares no cold time. */
    cold?: ColdProfile;
}

/** For how long an endpoint is cold after its start during traffic, and what it tolerates until then. */
export interface ColdProfile {
    durationMs: number;
    /** Requests a second that a cold endpoint tolerates from all gateways together; above 0. */
    perSecond: number;
}

/** Bounds on what callers may send and how long they may take. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** A client account with the keys that it may present. */
export interface TrafficAccount {
    name: string;
    keys: string[];
    priority: number | undefined;
    /** Regions in which requests may run, besides the restriction of the route; absent if they may run in all. */
    allowedRegions?: string[];
}

export interface TrafficConfiguration {
    version: number;
    routes: TrafficRoute[];
    services: TrafficService[];
    limits: CallerLimits;
    accounts: TrafficAccount[];
    /**
     * Whether requests need an account's key, also if there is no account: then no key is valid. `undefined` in
     * configurations of earlier builds, which need a key if there is an account.
     */
    requiresKeys?: boolean;
}
