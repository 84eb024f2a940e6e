/** Commands of the replicated state machine. Its state changes only by applying them. */
import type { ConfigurationValue, DrainKindValue, FencingNumber, ModelLoad, VmAttributes } from "./configuration.js";
import type { QuarantineSubjectValue } from "./crash.js";
import type { ServiceDefinition } from "./service.js";
import type { TrafficConfiguration } from "./traffic.js";

/** Publishes one service version. If two commands carry the same version, the one committed first takes effect. */
export interface PublishCommand {
    kind: "publish";
    changeId: string;
    operator: string;
    at: string;
    /** Version that was in force when the operator's plan was made; 0 for a new service. */
    baseVersion: number;
    definition: ServiceDefinition;
}

/** Declares that an agent with a new incarnation is present. */
export interface RegisterVmCommand {
    kind: "registerVm";
    vm: string;
    incarnation: string;
    attributes: VmAttributes;
    at: string;
}

/** Declares that the agent of this incarnation is lost. */
export interface LoseVmCommand {
    kind: "loseVm";
    vm: string;
    incarnation: string;
    at: string;
}

/** Assigns free VMs of one fabric domain to a new group. */
export interface FormGroupCommand {
    kind: "formGroup";
    groupId: string;
    institution: string;
    service: string;
    serviceVersion: number;
    vms: string[];
    models: ModelLoad[];
    at: string;
}

/** Reports that a member's engine has loaded the models that the group serves. */
export interface ConfirmLoadCommand {
    kind: "confirmLoad";
    groupId: string;
    vm: string;
    incarnation: string;
    fencing: FencingNumber;
    at: string;
}

/** Stops new requests to a group; those in flight complete. */
export interface DrainGroupCommand {
    kind: "drainGroup";
    groupId: string;
    reason: string;
    at: string;
}

/** Orders every member of a group to stop its engine. */
export interface ReleaseGroupCommand {
    kind: "releaseGroup";
    groupId: string;
    reason: string;
    at: string;
}

/** Confirmation by a VM's own agent that its engine runs nothing under any fencing number up to `fencing`. */
export interface ConfirmReleaseCommand {
    kind: "confirmRelease";
    vm: string;
    incarnation: string;
    fencing: FencingNumber;
    at: string;
}

/** Starts or ends the drain of a VM, a fabric domain or a data centre. */
export interface DrainCommand {
    kind: "drain" | "undrain";
    /** Absent in orders that are resent unchanged: their results are not stored. */
    changeId?: string;
    operator: string;
    target: DrainKindValue;
    name: string;
    at: string;
    /**
     * Revision of the configuration when the operator had not sent the order yet, or waited for it. The order is refused if
     * it would undo a later one. Absent in commands of earlier builds, which always take effect.
     */
    since?: number;
}

/** Claims an idempotency key before an agent runs a non-idempotent request. */
export interface LedgerBeginCommand {
    kind: "ledgerBegin";
    /** `institution/service/account/key`. */
    key: string;
    /** Digest of method, path and body. */
    digest: string;
    vm: string;
    incarnation: string;
    /** Identifies the attempt, so that a repeated begin has the same result as the first. */
    attempt: string;
    at: string;
}

/** Stores the answer of a non-idempotent request, which is returned when the request is resent. */
export interface LedgerAnswerCommand {
    kind: "ledgerAnswer";
    key: string;
    attempt: string;
    answer: StoredAnswer;
    at: string;
}

/** Frees an idempotency key after the engine proved that it did not start the request. */
export interface LedgerAbandonCommand {
    kind: "ledgerAbandon";
    key: string;
    attempt: string;
    at: string;
}

/** Reports the requests that were in flight when an engine crashed. */
export interface ReportCrashCommand {
    kind: "reportCrash";
    vm: string;
    incarnation: string;
    service: string;
    fingerprints: string[];
    at: string;
}

/** Removes suspects that have run to completion without a crash. */
export interface ClearSuspectsCommand {
    kind: "clearSuspects";
    fingerprints: string[];
    at: string;
}

/** Quarantines at all gateways what has ended the endpoints that ran it. */
export interface QuarantineCommand {
    kind: "quarantine";
    subject: QuarantineSubjectValue;
    id: string;
    service: string;
    /** Incarnations of the endpoints that ended. */
    crashes: string[];
    at: string;
}

/** Releases a request from quarantine for an operator, so that it can run again. */
export interface ReleaseQuarantineCommand {
    kind: "releaseQuarantine";
    changeId: string;
    operator: string;
    fingerprint: string;
    at: string;
}

/** Raises the safe point: markers of entries removed up to `revision` and old answered ledger keys are deleted. */
export interface RaiseSafePointCommand {
    kind: "raiseSafePoint";
    revision: number;
    /** Answered keys with an earlier timestamp (Unix milliseconds) are deleted; unknown keys of that age are refused. */
    ledgerTimeMs: number;
    at: string;
}

/**
 * Replaces the whole traffic configuration if its version is above the one in force; otherwise changes nothing.
 * {@link ChangeTrafficCommand} does the same at the cost of the difference.
 */
export interface PublishTrafficCommand {
    kind: "publishTraffic";
    traffic: TrafficConfiguration;
    /** The document as the operator sent it, returned unchanged to readers. */
    document: string;
    at: string;
}

/** Parts of a new text: new characters, or a range of the old text in UTF-16 code units. */
export type TextChange = (string | { from: number; length: number })[];

/**
 * Changes the traffic configuration from one version to a newer one. Changes nothing if `version` or a newer one is in
 * force; refused as stale if the version in force is another than `baseVersion`.
 */
export interface ChangeTrafficCommand {
    kind: "changeTraffic";
    baseVersion: number;
    version: number;
    /** Entries of the configuration that differ; `value` is `undefined` for a removed one. */
    changes: { key: string; value: ConfigurationValue | undefined }[];
    /** Change of the document as the operator sent it. */
    document: TextChange;
    at: string;
}

export type Command =
    | PublishCommand
    | PublishTrafficCommand
    | ChangeTrafficCommand
    | RegisterVmCommand
    | LoseVmCommand
    | FormGroupCommand
    | ConfirmLoadCommand
    | DrainGroupCommand
    | ReleaseGroupCommand
    | ConfirmReleaseCommand
    | DrainCommand
    | LedgerBeginCommand
    | LedgerAnswerCommand
    | LedgerAbandonCommand
    | ReportCrashCommand
    | ClearSuspectsCommand
    | QuarantineCommand
    | ReleaseQuarantineCommand
    | RaiseSafePointCommand;

/** One HTTP header field; the name is in lower case. */
export interface HeaderField {
    name: string;
    value: string;
}

/** The complete answer of a finished request. `body` is `undefined` if it was larger than the ledger's limit. */
export interface StoredAnswer {
    status: number;
    headers: HeaderField[];
    body: Uint8Array | undefined;
}

/** Result of applying a command, returned to its proposer. */
export type CommandResult =
    | { kind: "accepted"; revision: number }
    | {
        kind: "refused";
        code: "version-conflict" | "invalid-change" | "not-found" | "stale" | "superseded";
        message: string;
        /** Revision of the configuration by which a superseded order was refused. */
        revision?: number;
        winner?: ServiceDefinition;
    }
    | { kind: "ledger"; ledger: LedgerResult };

/** Result of a {@link LedgerBeginCommand}: the state of the key. */
export type LedgerResult =
    /** This attempt may run the request. */
    | { state: "won" }
    /** Another attempt runs the request on this VM. */
    | { state: "inFlight"; vm: string; incarnation: string }
    /** The request has run and this is its answer. */
    | { state: "answered"; answer: StoredAnswer }
    /** The agent that claimed the key is lost, so the request may have run. */
    | { state: "unknown" }
    /** The key was used for a different request. */
    | { state: "reused" }
    /** The key is older than the ledger's retention time. */
    | { state: "expired" };
