import { type GroupLoad, predictFirstEventMs } from "@kumquathall/engine-model";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** A replica group that could run the request. */
export interface ReplicaGroupCandidate {
    endpointId: string;
    load: GroupLoad;
    /** 0 to 1: how often it has failed requests lately. */
    failureScore: number;
}

export interface ReplicaGroupChoiceInput {
    profile: EngineProfile;
    model: EngineModelProfile;
    promptTokens: number;
    candidates: ReplicaGroupCandidate[];
    /** Time by which first events come later than the profile says, as measured, in milliseconds. */
    firstEventBiasMs: number;
    /** Time left until the first event meets the latency objective; negative once it cannot. */
    untilObjectiveMs: number;
    /** Time left until the caller gives up on a first event. */
    untilGivenUpMs: number;
    /** In [0, 1); spreads the return of refused callers. */
    random: number;
}

export type ReplicaGroupChoice =
    | { kind: "send"; endpointId: string; predictedMs: number; isOnTime: boolean }
    /** No group can serve it in time, or a late answer would delay others; room is expected after `retryAfterMs`. */
    | { kind: "refuse"; retryAfterMs: number; predictedMs: number }
    | { kind: "none" };

/**
 * Part of a group's slots up to which it takes requests that miss their objective anyway: beyond it each of them delays
 * requests that could still be in time.
 */
const LATE_SLOT_PART = 0.7;
/** A group that fails every request seems this many times slower on top. */
const FAILURE_COST = 4;
/** Bounds of the time after which refused callers are asked to return, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150;
const MAX_RETRY_AFTER_MS = 2000;

/** Chooses the group with the earliest predicted first event, and refuses at once what would wait in vain. */
export function chooseReplicaGroup(input: ReplicaGroupChoiceInput): ReplicaGroupChoice {
    let best: { candidate: ReplicaGroupCandidate; predictedMs: number; cost: number } | undefined;
    for (const candidate of input.candidates) {
        const predictedMs = input.firstEventBiasMs
            + predictFirstEventMs(input.profile, input.model, candidate.load, input.promptTokens);
        const cost = predictedMs * (1 + FAILURE_COST * candidate.failureScore);
        if (best === undefined || cost < best.cost) {
            best = { candidate, predictedMs, cost };
        }
    }
    if (best === undefined) {
        return { kind: "none" };
    }
    const { candidate, predictedMs } = best;
    const isOnTime = predictedMs <= input.untilObjectiveMs;
    const used = (candidate.load.running + candidate.load.waiting) / input.profile.slots;
    if (isOnTime || (used < LATE_SLOT_PART && predictedMs < input.untilGivenUpMs)) {
        return { kind: "send", endpointId: candidate.endpointId, predictedMs, isOnTime };
    }
    const overMs = predictedMs - Math.max(0, input.untilObjectiveMs);
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, overMs)) * (0.75 + input.random / 2);
    return { kind: "refuse", retryAfterMs, predictedMs };
}
