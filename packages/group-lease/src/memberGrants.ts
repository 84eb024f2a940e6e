import type { FencingNumber, VmRecord } from "@kumquathall/types";
import { VmState } from "@kumquathall/types";
import type { GroupLeaseTiming } from "./headLeases.js";

/** Leases that a member has granted: when the last of them ends on the member's monotonic clock. */
export interface MemberGrants {
    grantedUntil: number;
}

/**
 * Creates the grants of a member that starts. It assumes that a lease was granted just now, since its predecessor on
 * this VM may have granted one on which a head still relies.
 */
export function createMemberGrants(now: number, timing: GroupLeaseTiming, disabledGuard?: string): MemberGrants {
    return {
        grantedUntil: disabledGuard === "grantsOfPredecessor"
            ? Number.NEGATIVE_INFINITY
            : now + timing.leaseMs + timing.marginMs,
    };
}

export interface GrantInput {
    grants: MemberGrants;
    /** The VM's record in the member's copy of the configuration; `undefined` before it has read one. */
    vm: VmRecord | undefined;
    incarnation: string;
    isEngineLoaded: boolean;
    groupId: string;
    fencing: FencingNumber;
    now: number;
    timing: GroupLeaseTiming;
}

export type GrantDecision = { isGranted: true; grants: MemberGrants } | { isGranted: false; reason: string };

/** Grants a lease only for the member's current assignment, and only while its engine is loaded. */
export function decideGrant(input: GrantInput): GrantDecision {
    const { vm } = input;
    if (vm === undefined || vm.incarnation !== input.incarnation) {
        return { isGranted: false, reason: "this agent has not read its record yet" };
    }
    if (vm.state !== VmState.Assigned || vm.groupId !== input.groupId) {
        return { isGranted: false, reason: `this VM is ${vm.state}` };
    }
    if (vm.fencing.term !== input.fencing.term || vm.fencing.index !== input.fencing.index) {
        return { isGranted: false, reason: "another fencing number is in force" };
    }
    if (!input.isEngineLoaded) {
        return { isGranted: false, reason: "the engine is not loaded" };
    }
    const until = input.now + input.timing.leaseMs + input.timing.marginMs;
    return { isGranted: true, grants: { grantedUntil: Math.max(input.grants.grantedUntil, until) } };
}

/** Whether the member may confirm a release: no head can rely on one of its grants any more. */
export function canConfirmRelease(grants: MemberGrants, now: number, disabledGuard?: string): boolean {
    return now >= grants.grantedUntil || disabledGuard === "waitOutGrants";
}
