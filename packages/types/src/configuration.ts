/** The configuration that control distributes to every entry and agent. */
import type { QuarantineSubjectValue } from "./crash.js";
import type { ServiceDefinition } from "./service.js";
import type { CallerLimits, TrafficAccount, TrafficRoute, TrafficService } from "./traffic.js";

/** Revision of a configuration entry: the log index of the command that wrote it. */
export type Revision = number;

/** Fencing number of an order: term and log index of the decision, compared in that order. */
export interface FencingNumber {
    term: number;
    index: number;
}

export const GroupState = {
    /** Members are ordered to load. */
    Loading: "loading",
    /** Every member is loaded; the head may serve while its leases hold. */
    Serving: "serving",
    /** No new requests; those in flight complete. */
    Draining: "draining",
    /** Members stop their engines and confirm; the group is removed after the last confirmation. */
    Releasing: "releasing",
} as const;
export type GroupStateValue = (typeof GroupState)[keyof typeof GroupState];

/** A model version with its adapters, as an engine is ordered to load it. */
export interface ModelLoad {
    model: string;
    version: string;
    adapters: string[];
}

/** One replica group. The first VM is the head. */
export interface ReplicaGroup {
    id: string;
    institution: string;
    service: string;
    serviceVersion: number;
    vms: string[];
    models: ModelLoad[];
    state: GroupStateValue;
    fencing: FencingNumber;
    /** VMs that have confirmed the load. */
    loadedVms: string[];
    /** Why the group is draining or releasing. */
    reason?: string;
}

export const FencingSupport = { Enforced: "enforced", Ignored: "ignored" } as const;
export type FencingSupportValue = (typeof FencingSupport)[keyof typeof FencingSupport];

/** Attributes of a VM, as its agent announces them. */
export interface VmAttributes {
    dataCentre: string;
    fabricDomain: string;
    accelerators: number;
    kind: "model" | "plain";
    fencing: FencingSupportValue;
    /** For a plain service: `institution/service`. */
    service?: string;
    /** The agent's process is stopping: its VM gets no new group, and its group is drained. */
    isLeaving?: boolean;
    /** Address on which the agent accepts links from the heads of groups. */
    address: string;
}

export const VmState = {
    /** The engine is empty and the agent connected: the VM may be assigned. */
    Free: "free",
    /** Belongs to exactly one group. */
    Assigned: "assigned",
    /** The agent must confirm the release under the VM's newest fencing number before the VM is free. */
    Releasing: "releasing",
} as const;
export type VmStateValue = (typeof VmState)[keyof typeof VmState];

/** Control's record of one endpoint VM. */
export interface VmRecord {
    id: string;
    incarnation: string;
    attributes: VmAttributes;
    state: VmStateValue;
    groupId?: string;
    fencing: FencingNumber;
    /** Service version whose weights the engine still holds after a release, so that loading it again is quick. */
    warmFor?: string;
    /** `false` after control has declared the VM lost; `true` again after its agent's next announcement. */
    present: boolean;
}

/** What a drain applies to. */
export const DrainKind = { Vm: "vm", FabricDomain: "domain", DataCentre: "data-centre" } as const;
export type DrainKindValue = (typeof DrainKind)[keyof typeof DrainKind];

export interface DrainRecord {
    kind: DrainKindValue;
    name: string;
    operator: string;
}

/** A request, identified by its fingerprint, that was in flight when engines crashed. */
export interface SuspectRecord {
    fingerprint: string;
    /** What the fingerprint identifies; absent in records of earlier builds, which are of requests. */
    subject?: QuarantineSubjectValue;
    service: string;
    /** Incarnations of VMs or endpoints that crashed while running it. */
    crashes: string[];
    quarantined: boolean;
}

/** Values of the configuration map; the prefix of the key determines the kind. */
export type ConfigurationValue =
    | { kind: "service"; service: ServiceDefinition }
    | { kind: "group"; group: ReplicaGroup }
    | { kind: "vm"; vm: VmRecord }
    | { kind: "drain"; drain: DrainRecord }
    | { kind: "suspect"; suspect: SuspectRecord }
    /** The traffic configuration in force, without its routes and accounts, which are entries of their own. */
    | {
        kind: "traffic";
        version: number;
        limits: CallerLimits;
        services: TrafficService[];
        requiresKeys?: boolean;
    }
    | { kind: "trafficRoute"; route: TrafficRoute }
    | { kind: "trafficAccount"; account: TrafficAccount };

/** One changed entry; `value` is `undefined` if the entry was removed. */
export interface ConfigurationChange {
    key: string;
    revision: Revision;
    value: ConfigurationValue | undefined;
}

/** A delta or snapshot of the configuration, as control and entries send it. */
export interface ConfigurationUpdate {
    /** The update holds the changes after this revision; ignored if `isSnapshot`. */
    since: Revision;
    /** The receiver is at this revision after applying the update. */
    revision: Revision;
    isSnapshot: boolean;
    changes: ConfigurationChange[];
}
