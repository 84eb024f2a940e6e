import type { FencingNumber, VmRecord } from "@kumquathall/types";
import { VmState } from "@kumquathall/types";
import type { GroupLeaseTiming } from "./headLeases.js";

/** What a member has promised: until when some head may rely on it. The member's monotonic clock. */
export interface MemberGrants {
    grantedUntil: number;
}

/**
 * What a member that starts must assume: it does not know what its predecessor on this VM granted a moment ago,
 * and a head may still rely on that.
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
    /** The member's own record as it knows it; `undefined` before it has read one. */
    vm: VmRecord | undefined;
    incarnation: string;
    isEngineLoaded: boolean;
    groupId: string;
    fencing: FencingNumber;
    now: number;
    timing: GroupLeaseTiming;
}

export type GrantDecision = { isGranted: true; grants: MemberGrants } | { isGranted: false; reason: string };

/** Grants a lease only for the assignment that the member is in, and only while its engine is loaded. */
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

/** Whether no head can still rely on this member. */
export function canConfirmRelease(grants: MemberGrants, now: number, disabledGuard?: string): boolean {
    return now >= grants.grantedUntil || disabledGuard === "waitOutGrants";
}
