/** Content of a service file, in which an operator declares a service. */

/** Whether a service is answered by model engines or by an ordinary HTTP service. */
export const ServiceKind = { Model: "model", Plain: "plain" } as const;
export type ServiceKindValue = (typeof ServiceKind)[keyof typeof ServiceKind];

/** One model that a service serves. */
export interface ModelSpec {
    name: string;
    version: string;
    adapters: string[];
}

/** The shape of one replica group. */
export interface ReplicaGroupSpec {
    /** VMs that one replica spans; all in one fabric domain. */
    vms: number;
    acceleratorsPerVm: number;
}

/** Capacity that the institution has contracted. */
export interface CapacitySpec {
    /** Number of replica groups to keep serving. Ignored for plain services. */
    groups: number;
    /** Requests in flight over all entries. */
    concurrentRequests: number;
    /** Sustained requests a second over all entries. */
    requestsPerSecond: number;
}

/** Relative weights of the planner's two objectives. */
export interface ObjectiveWeights {
    groupDowntime: number;
    strandedAccelerators: number;
}

/** A client account. Of its key, only the SHA-256 digest is stored. */
export interface AccountSpec {
    name: string;
    /** Hexadecimal SHA-256 of the account's key. */
    keyDigest: string;
    /** Share of the service relative to other accounts. */
    weight: number;
    /** Requests with a larger value are served first; passed on to the engine. */
    priority: number;
}

/** Where a non-idempotent request carries its idempotency key. */
export interface KeyLocation {
    header?: string;
    /** JSON pointer of a string field in a JSON body. */
    bodyField?: string;
}

/** Rule for the requests of one method and path prefix. */
export interface RequestRule {
    method: string;
    path: string;
    /** If `false`, the request has at-most-once semantics and needs an idempotency key. */
    repeatable: boolean;
    key?: KeyLocation;
}

/** The content of one service file. */
export interface ServiceDefinition {
    institution: string;
    service: string;
    /** Raised by the operator with every change. */
    version: number;
    kind: ServiceKindValue;
    models: ModelSpec[];
    replicaGroup: ReplicaGroupSpec;
    capacity: CapacitySpec;
    objective: ObjectiveWeights;
    /** Longest time an answer may take, in milliseconds. */
    deadlineMs: number;
    accounts: AccountSpec[];
    requests: RequestRule[];
}
