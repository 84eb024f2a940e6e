import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** Estimated current load of a replica group. */
export interface GroupLoad {
    /** Number of requests in the batch. */
    running: number;
    /** Number of requests that wait for a slot. */
    waiting: number;
    /** Prompt tokens that have been sent and are not known to be prefilled yet. */
    pendingPrefillTokens: number;
    kvUsedTokens: number;
    /** Factor by which the group is slower than its profile. */
    pace: number;
}

const TOKENS_PER_THOUSAND = 1000;
const PAIRS_PER_MILLION = 1_000_000;
const MS_PER_SECOND = 1000;

/** Computes the time of one decoding step with `running` requests in the batch, in milliseconds. */
export function computeStepMs(profile: EngineProfile, pace: number, running: number, contextTokens: number): number {
    return pace
        * (profile.stepMs + profile.perSequenceMs * running
            + profile.contextMsPerThousand * contextTokens / TOKENS_PER_THOUSAND);
}

/** Estimates the prefill time of a prompt in an otherwise idle engine, in milliseconds. */
export function estimatePrefillMs(profile: EngineProfile, pace: number, promptTokens: number): number {
    const linearMs = promptTokens / profile.prefillTokensPerSecond * MS_PER_SECOND;
    const attentionMs = promptTokens * promptTokens / 2 / PAIRS_PER_MILLION * profile.pairsMsPerMillion;
    return pace * (linearMs + attentionMs);
}

/** Estimates the engine time that one request of a full batch uses, in milliseconds. */
export function estimateServiceMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    promptTokens: number,
    answerTokens: number,
): number {
    const stepMs = computeStepMs(profile, model.pace, profile.slots, profile.slots * profile.usualPromptTokens);
    return estimatePrefillMs(profile, model.pace, promptTokens) + answerTokens * stepMs / profile.slots;
}

/** Predicts the time until the first event of a request that is sent now, in milliseconds. */
export function predictFirstEventMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    load: GroupLoad,
    promptTokens: number,
): number {
    const pace = model.pace * load.pace;
    const stepMs = computeStepMs(profile, pace, Math.min(load.running, profile.slots), load.kvUsedTokens);
    const passMs = stepMs * profile.stride;
    const prefillMs = estimatePrefillMs(profile, pace, promptTokens);
    const prefillAheadMs = estimatePrefillMs(profile, pace, profile.usualPromptTokens) * load.pendingPrefillTokens
        / Math.max(1, profile.usualPromptTokens);
    const prefillChunks = Math.ceil((promptTokens + load.pendingPrefillTokens) / profile.prefillChunkTokens);
    return prefillMs + prefillAheadMs + prefillChunks * passMs + estimateSlotWaitMs(profile, pace, load);
}

/** Estimates the time until a slot is free, in milliseconds. Requests of a full batch end one after another. */
function estimateSlotWaitMs(profile: EngineProfile, pace: number, load: GroupLoad): number {
    const excessRequests = load.running + load.waiting - profile.slots + 1;
    if (excessRequests <= 0) {
        return 0;
    }
    const fullStepMs = computeStepMs(profile, pace, profile.slots, load.kvUsedTokens);
    return excessRequests * (profile.usualAnswerTokens * fullStepMs
        + profile.slots * estimatePrefillMs(profile, pace, profile.usualPromptTokens))
        / profile.slots;
}
