import { ProblemCode } from "@kumquathall/errors";
import { hasAllLeases, type HeadLeases } from "@kumquathall/group-lease";
import {
    type FencingNumber,
    GroupState,
    type ReplicaGroup,
    type RunRefusal,
    VmState,
    type VmStateValue,
} from "@kumquathall/types";

export interface StartInput {
    isStopping: boolean;
    hasConfigurationLease: boolean;
    isEngineHealthy: boolean;
    /** `undefined` on a plain service. */
    group: ReplicaGroup | undefined;
    vm: string;
    vmState: VmStateValue | undefined;
    isPlain: boolean;
    leases: HeadLeases | undefined;
    /** Replica group and fencing number that the entry routed the request to. */
    requestedGroupId: string | undefined;
    requestedFencing: FencingNumber | undefined;
    remainingMs: number;
    running: number;
    maxRunning: number;
    isQuarantined: boolean;
    now: number;
}

export type StartDecision = { kind: "start" } | { kind: "refuse"; refusal: RunRefusal };

const RETRY_AFTER_MS = 200;

/** Decides, as the last check before the engine, whether a request may start. A refused request is never started. */
export function decideStart(input: StartInput): StartDecision {
    if (input.isStopping) {
        return refuse(ProblemCode.Stopping, "this endpoint is leaving", RETRY_AFTER_MS);
    }
    if (input.isQuarantined) {
        return refuse(ProblemCode.Quarantined, "this request was in flight when engines crashed", undefined);
    }
    if (input.remainingMs <= 0) {
        return refuse(ProblemCode.DeadlineExceeded, "the deadline has expired", undefined);
    }
    if (!input.hasConfigurationLease) {
        return refuse(ProblemCode.NotReady, "this endpoint has no configuration lease", RETRY_AFTER_MS);
    }
    if (!input.isEngineHealthy) {
        return refuse(ProblemCode.NotReady, "the engine is unavailable", RETRY_AFTER_MS);
    }
    if (input.running >= input.maxRunning) {
        return refuse(
            ProblemCode.NoCapacity,
            "this endpoint already runs its maximum number of requests",
            RETRY_AFTER_MS,
        );
    }
    return input.isPlain ? { kind: "start" } : decideGroupStart(input);
}

function decideGroupStart(input: StartInput): StartDecision {
    const { group, leases } = input;
    const isHead = group !== undefined && group.vms[0] === input.vm && input.vmState === VmState.Assigned;
    const isRequested = group !== undefined && group.id === input.requestedGroupId
        && group.fencing.term === input.requestedFencing?.term && group.fencing.index === input.requestedFencing.index;
    if (!isHead || !isRequested || group.state !== GroupState.Serving) {
        return refuse(ProblemCode.StaleRoute, "this VM does not serve the requested replica group", RETRY_AFTER_MS);
    }
    if (leases === undefined || leases.groupId !== group.id || !hasAllLeases(leases, input.now)) {
        return refuse(ProblemCode.NotReady, "a member of the group has not renewed its lease", RETRY_AFTER_MS);
    }
    return { kind: "start" };
}

function refuse(code: string, message: string, retryAfterMs: number | undefined): StartDecision {
    return { kind: "refuse", refusal: { code, message, retryAfterMs } };
}
