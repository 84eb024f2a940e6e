/** Why a request is refused. */
export const SharingRefusal = {
    /** No group would serve it within its objective, and a late answer would delay others. */
    Late: "late",
    /** More is offered than can be served, and the request is not in the fraction that is admitted. */
    AboveShare: "above-share",
} as const;
export type SharingRefusalValue = (typeof SharingRefusal)[keyof typeof SharingRefusal];

export interface AdmissionInput {
    /** More is offered than the groups that serve can do. */
    isOverloaded: boolean;
    /** Admitted fraction of the work of the request's rank and account, 0 to 1. */
    fraction: number;
    /** Fraction of all work that is admitted, 0 to 1. */
    overall: number;
    /** Used fraction of the slots of all groups of the model; above 1 if requests wait. */
    usedFraction: number;
    /** Used fraction of the slots of the best group. */
    groupUsedFraction: number;
    /** Predicted time to the first event at the best group, and at an idle one, in milliseconds. */
    predictedMs: number;
    idleMs: number;
    /** Latency objective of the route, and what is left of it, in milliseconds. */
    objectiveMs: number;
    timeToObjectiveMs: number;
    /** Time after which the caller is assumed to abandon the request, in milliseconds. */
    timeToAbandonmentMs: number;
    /** The request returns at a time for which room has been kept. */
    hasReserved: boolean;
    /** The request has been refused before, and no room has been kept for it. */
    isEarlyReturn: boolean;
    /** Random number in [0, 1) that belongs to the request. */
    draw: number;
}

/** A request that can be in time is not refused below this used fraction of the slots, whatever the estimates are. */
const FREE_USED_FRACTION = 0.5;
/** Used fraction at which the computed fraction is admitted. Above it, the next arrivals may find no free slot. */
const SHARED_USED_FRACTION = 0.9;
/**
 * Requests that miss their objective are served up to these fractions of the slots of all groups and of the best one. Above,
 * each of them delays others: they hold slots for seconds, and requests that can be in time arrive meanwhile.
 */
const LATE_USED_FRACTION = 0.7;
const LATE_GROUP_USED_FRACTION = 0.95;
/**
 * Part of the admitted fraction for requests whose prompt alone takes longer than their objective: those of a class's
 * largest tenth are to be served at least half as often as the class.
 */
const OVERLONG_PART = 0.5;
/** Smallest part of the overall fraction that is admitted of any rank. */
const MIN_PART = 0.3;

/** Decides whether a request is sent to the best group; `undefined` if it is, otherwise why it is not. */
export function decideAdmission(input: AdmissionInput): SharingRefusalValue | undefined {
    const isOnTime = input.predictedMs <= input.timeToObjectiveMs;
    if (input.hasReserved && (isOnTime || input.predictedMs <= input.objectiveMs)) {
        return undefined;
    }
    const canBeLate = input.groupUsedFraction < LATE_GROUP_USED_FRACTION
        && input.predictedMs < input.timeToAbandonmentMs;
    const isOverlong = input.idleMs > input.objectiveMs;
    if (!input.isOverloaded || input.usedFraction < FREE_USED_FRACTION) {
        const isHarmless = isOverlong || input.usedFraction < LATE_USED_FRACTION;
        return isOnTime || (canBeLate && isHarmless) ? undefined : SharingRefusal.Late;
    }
    if (!isOnTime && !(canBeLate && isOverlong)) {
        return SharingRefusal.Late;
    }
    const part = isOverlong ? OVERLONG_PART : 1;
    // A request that is sent again early has been drawn before. Long prompts have no time for that.
    const probability = computeProbability(input) ** (input.isEarlyReturn ? 2 : 1) * part;
    return input.draw < probability ? undefined : SharingRefusal.AboveShare;
}

/**
 * Computes the probability with which a request is admitted. The used slots correct the admitted fraction where the work or
 * the capacity is estimated wrongly: it rises to 1 as slots become free, and falls as the last ones are used.
 */
function computeProbability({ fraction, overall, usedFraction }: AdmissionInput): number {
    if (usedFraction < SHARED_USED_FRACTION) {
        const free = (SHARED_USED_FRACTION - usedFraction) / (SHARED_USED_FRACTION - FREE_USED_FRACTION);
        return fraction + (1 - fraction) * free;
    }
    const full = Math.min(1, (usedFraction - SHARED_USED_FRACTION) / (1 - SHARED_USED_FRACTION));
    return fraction + (Math.max(overall * MIN_PART, fraction * fraction) - fraction) * full;
}
