import type { SharingRefusalValue } from "@kumquathall/capacity-sharing";
import { type GroupLoad, isMemoryExceeded, predictEventGapMs, predictFirstEventMs } from "@kumquathall/engine-model";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** A replica group that can run the request. */
export interface ReplicaGroupCandidate {
    /** Key of the endpoint that heads the group. */
    endpointId: string;
    load: GroupLoad;
    /** Recent failure rate, 0 to 1. */
    failureScore: number;
    /** Added to the predicted time when candidates are compared, in milliseconds: spreads gateways with the same reports. */
    spreadMs?: number;
}

/** Prediction for the best group, with the state of all groups that serve the model. */
export interface GroupPrediction {
    predictedMs: number;
    /** Time until the first event at an idle group by its profile, in milliseconds. */
    idleMs: number;
    /** Used fraction of the slots of the best group, and of all groups. */
    groupUsedFraction: number;
    usedFraction: number;
    /** Work that all groups can do in a second, in endpoint-milliseconds. */
    capacityMs: number;
}

export interface ReplicaGroupChoiceInput {
    profile: EngineProfile;
    model: EngineModelProfile;
    promptTokens: number;
    /** Expected answer; if known, groups whose running requests the request would disturb are avoided. */
    answerTokens?: number;
    /** Priority with which it is sent; 0 is served first. */
    priority?: number;
    /** Shortest objective for the interval between two events of the service's streams, in milliseconds. */
    gapObjectiveMs?: number;
    candidates: ReplicaGroupCandidate[];
    /** Loads of groups that serve the model and can't be chosen now. */
    otherLoads?: GroupLoad[];
    /** Measured delay of first events beyond the profile's prediction, in milliseconds. */
    firstEventBiasMs: number;
    /** Time left until the latency objective of the first event is missed, in milliseconds; negative afterwards. */
    timeToObjectiveMs: number;
    /** Time left until the caller is assumed to abandon the request, in milliseconds. */
    timeToAbandonmentMs: number;
    /** Random number in [0, 1) that spreads the retries of refused callers. */
    random: number;
    /**
     * Decides whether a request gets a part of the capacity. Without it, a request is sent if it is in time, or late where
     * a slot is free.
     */
    decide?: (prediction: GroupPrediction) => SharingRefusalValue | undefined;
}

export type ReplicaGroupChoice =
    | { kind: "send"; endpointId: string; predictedMs: number; isOnTime: boolean }
    /** No group can serve it in time, or its response would delay others. Retry after `retryAfterMs`. */
    | {
        kind: "refuse";
        retryAfterMs: number;
        predictedMs: number;
        /** Time by which the objective would be missed, in milliseconds. */
        excessMs: number;
        capacityMs: number;
        /** The refusal of `decide`; `undefined` without it. */
        reason: SharingRefusalValue | undefined;
    }
    | { kind: "none" };

/**
 * A group accepts requests that will miss their objective up to this fraction of its slots. Above it, each of them
 * delays requests that can still meet theirs.
 */
const LATE_SLOT_FRACTION = 0.95;
/** Added to the predicted time of a group that fails every request, as a multiple of that time. */
const FAILURE_COST_FACTOR = 4;
/** A group that fails more of its requests is no better than one whose running requests would be disturbed. */
const MAX_FAILURE_SCORE = 0.5;
/** Bounds of the retry-after time of refused callers, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150;
const MAX_RETRY_AFTER_MS = 2000;
const MS_PER_SECOND = 1000;

/** Whether a group serves a request in time, late in a free slot, or not at all; the lowest is used first. */
const TimeRank = { OnTime: 0, Late: 1, Refused: 4 } as const;
type TimeRankValue = (typeof TimeRank)[keyof typeof TimeRank];
/** Added to the rank of a group whose running requests the request would disturb: it still serves what others would refuse. */
const DISTURBED_RANK = 2;

/**
 * Chooses the group with the earliest predicted first event among those whose running requests aren't disturbed, or of all
 * groups if there are none; or refuses a request that no group should serve.
 */
export function chooseReplicaGroup(input: ReplicaGroupChoiceInput): ReplicaGroupChoice {
    let best: { candidate: ReplicaGroupCandidate; predictedMs: number; cost: number; rank: number } | undefined;
    for (const candidate of input.candidates) {
        const predictedMs = predictMs(input, candidate.load);
        const timeRank = computeTimeRank(input, candidate, predictedMs);
        // Where none can be sent to, the earliest shows for how long to refuse.
        const spreadMs = timeRank === TimeRank.Refused ? 0 : candidate.spreadMs ?? 0;
        const cost = (predictedMs + spreadMs) * (1 + FAILURE_COST_FACTOR * candidate.failureScore);
        const rank = input.answerTokens === undefined
            ? 0
            : timeRank + (mustDisturb(input, candidate) ? DISTURBED_RANK : 0);
        if (best === undefined || rank < best.rank || (rank === best.rank && cost < best.cost)) {
            best = { candidate, predictedMs, cost, rank };
        }
    }
    if (best === undefined) {
        return { kind: "none" };
    }
    const { candidate, predictedMs } = best;
    const timeRank = computeTimeRank(input, candidate, predictedMs);
    const prediction = buildPrediction(input, candidate.load, predictedMs);
    const reason = input.decide?.(prediction);
    const isAccepted = input.decide === undefined ? timeRank !== TimeRank.Refused : reason === undefined;
    if (isAccepted) {
        return { kind: "send", endpointId: candidate.endpointId, predictedMs, isOnTime: timeRank === TimeRank.OnTime };
    }
    const excessMs = predictedMs - Math.max(0, input.timeToObjectiveMs);
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessMs))
        * (0.75 + input.random / 2);
    return { kind: "refuse", retryAfterMs, predictedMs, excessMs, capacityMs: prediction.capacityMs, reason };
}

function predictMs(input: ReplicaGroupChoiceInput, load: GroupLoad): number {
    return input.firstEventBiasMs + predictFirstEventMs(input.profile, input.model, load, input.promptTokens, input);
}

function buildPrediction(input: ReplicaGroupChoiceInput, chosen: GroupLoad, predictedMs: number): GroupPrediction {
    const { profile, model, candidates, otherLoads = [] } = input;
    const loads = [...candidates.map(({ load }) => load), ...otherLoads];
    const countUsed = (load: GroupLoad) => load.running + load.waiting;
    const idle = { running: 0, waiting: 0, pendingPrefillTokens: 0, kvUsedTokens: 0, pace: chosen.pace };
    return {
        predictedMs,
        idleMs: predictFirstEventMs(profile, model, idle, input.promptTokens),
        groupUsedFraction: countUsed(chosen) / profile.slots,
        usedFraction: loads.reduce((sum, load) => sum + countUsed(load), 0) / (profile.slots * loads.length),
        capacityMs: loads.reduce((sum, load) => sum + model.groupSize * MS_PER_SECOND / load.pace, 0),
    };
}

function computeTimeRank(
    input: ReplicaGroupChoiceInput,
    { load }: ReplicaGroupCandidate,
    predictedMs: number,
): TimeRankValue {
    if (predictedMs <= input.timeToObjectiveMs) {
        return TimeRank.OnTime;
    }
    const utilization = (load.running + load.waiting) / input.profile.slots;
    const hasRoom = utilization < LATE_SLOT_FRACTION && predictedMs < input.timeToAbandonmentMs;
    return hasRoom ? TimeRank.Late : TimeRank.Refused;
}

/** Whether requests that run in a group would miss their objective between events, or be preempted, for the request. */
function mustDisturb(input: ReplicaGroupChoiceInput, { load, failureScore }: ReplicaGroupCandidate): boolean {
    const { profile, model, promptTokens, answerTokens = 0, gapObjectiveMs } = input;
    const isGapExceeded = gapObjectiveMs !== undefined && load.running > 0
        && predictEventGapMs(profile, model, load, promptTokens) > gapObjectiveMs;
    return failureScore > MAX_FAILURE_SCORE || isGapExceeded
        || isMemoryExceeded(profile, load, promptTokens, answerTokens);
}
