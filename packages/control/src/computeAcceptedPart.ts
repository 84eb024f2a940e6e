import type { ColdProfile } from "@kumquathall/types";

export interface AcceptedPartInput {
    /** Time for which a usual request occupies a slot of the group, in milliseconds. */
    usualMs: number;
    /** Requests a second that the head names as its limit; `undefined` if it names none. */
    namedLimit: number | undefined;
    /** What the head's service declares for cold endpoints. */
    cold: ColdProfile | undefined;
    /** Local monotonic time until which the head is cold, in milliseconds. */
    coldUntil: number | undefined;
    now: number;
}

const MS_PER_SECOND = 1000;

/** Computes the part of a group's usual work that its head accepts, 0 to 1. */
export function computeAcceptedPart({ usualMs, namedLimit, cold, coldUntil, now }: AcceptedPartInput): number {
    const coldRate = coldUntil !== undefined && coldUntil > now ? cold?.perSecond : undefined;
    const perSecond = Math.min(namedLimit ?? Number.POSITIVE_INFINITY, coldRate ?? Number.POSITIVE_INFINITY);
    return Number.isFinite(perSecond) ? Math.min(1, perSecond * usualMs / MS_PER_SECOND) : 1;
}
