import type { FencingNumber } from "@kumquathall/types";

/** Durations in milliseconds. */
export interface GroupLeaseTiming {
    /** The head may rely on a grant for this long after it sent the question. */
    leaseMs: number;
    /** A member promises for this much longer, for clocks that run at different rates. */
    marginMs: number;
    /** Interval at which the head asks. */
    intervalMs: number;
}

export const DEFAULT_GROUP_LEASE_TIMING: GroupLeaseTiming = { leaseMs: 1500, marginMs: 150, intervalMs: 300 };

/** What a head holds: for each member, until when its grant may be relied on. Times are the head's monotonic clock. */
export interface HeadLeases {
    groupId: string;
    fencing: FencingNumber;
    leases: readonly { vm: string; until: number }[];
}

/** Starts a head's table without any lease. */
export function createHeadLeases(groupId: string, fencing: FencingNumber, members: readonly string[]): HeadLeases {
    return { groupId, fencing, leases: members.map(vm => ({ vm, until: Number.NEGATIVE_INFINITY })) };
}

/** Records a grant; it counts from when the question was sent. */
export function recordGrant(table: HeadLeases, vm: string, sentAt: number, timing: GroupLeaseTiming): HeadLeases {
    const until = sentAt + timing.leaseMs;
    return {
        ...table,
        leases: table.leases.map(lease => lease.vm === vm ? { vm, until: Math.max(lease.until, until) } : lease),
    };
}

/** Whether the head holds an unexpired lease of every member. Checked at each start of a request. */
export function hasAllLeases(table: HeadLeases, now: number, disabledGuard?: string): boolean {
    if (disabledGuard === "allMemberLeases") {
        return true;
    }
    return table.leases.every(lease => now < lease.until);
}
