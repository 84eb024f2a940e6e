import type { FencingNumber } from "@kumquathall/types";

/** Durations in milliseconds. */
export interface GroupLeaseTiming {
    /** How long the head may rely on a grant after sending the request for it. */
    leaseMs: number;
    /** How much longer a member honours a grant, to allow for clocks that run at different rates. */
    marginMs: number;
    /** Interval at which the head requests grants. */
    intervalMs: number;
}

export const DEFAULT_GROUP_LEASE_TIMING: GroupLeaseTiming = { leaseMs: 1500, marginMs: 150, intervalMs: 300 };

/** Leases that a head holds: for each member, when the lease ends on the head's monotonic clock. */
export interface HeadLeases {
    groupId: string;
    fencing: FencingNumber;
    leases: readonly { vm: string; until: number }[];
}

/** Creates the leases of a new head, all expired. */
export function createHeadLeases(groupId: string, fencing: FencingNumber, members: readonly string[]): HeadLeases {
    return { groupId, fencing, leases: members.map(vm => ({ vm, until: Number.NEGATIVE_INFINITY })) };
}

/** Records a grant. The lease counts from the time at which the request was sent. */
export function recordGrant(table: HeadLeases, vm: string, sentAt: number, timing: GroupLeaseTiming): HeadLeases {
    const until = sentAt + timing.leaseMs;
    return {
        ...table,
        leases: table.leases.map(lease => lease.vm === vm ? { vm, until: Math.max(lease.until, until) } : lease),
    };
}

/** Whether the head holds an unexpired lease from every member. Checked before each request is started. */
export function hasAllLeases(table: HeadLeases, now: number, disabledGuard?: string): boolean {
    if (disabledGuard === "allMemberLeases") {
        return true;
    }
    return table.leases.every(lease => now < lease.until);
}
