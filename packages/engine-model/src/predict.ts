import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";

/** What a group runs and holds back, as far as is known. */
export interface GroupLoad {
    running: number;
    waiting: number;
    /** Prompt tokens that are sent and not known to be read yet. */
    pendingPrefillTokens: number;
    kvUsedTokens: number;
    /** Factor by which the group is slower than its profile. */
    pace: number;
}

const TOKENS_PER_K = 1000;
const PAIRS_PER_M = 1_000_000;
const MS_PER_SECOND = 1000;

/** Time of one decoding step with this many requests running, in milliseconds. */
export function computeStepMs(profile: EngineProfile, pace: number, running: number, contextTokens: number): number {
    return pace
        * (profile.stepMs + profile.perSequenceMs * running
            + profile.contextMsPerThousand * contextTokens / TOKENS_PER_K);
}

/** Time to read a prompt, in milliseconds, without what runs beside it. */
export function estimatePrefillMs(profile: EngineProfile, pace: number, promptTokens: number): number {
    const readMs = promptTokens / profile.prefillTokensPerSecond * MS_PER_SECOND;
    const pairsMs = promptTokens * promptTokens / 2 / PAIRS_PER_M * profile.pairsMsPerMillion;
    return pace * (readMs + pairsMs);
}

/** Engine time that one request takes from the others of a full batch, in milliseconds. */
export function estimateServiceMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    promptTokens: number,
    answerTokens: number,
): number {
    const stepMs = computeStepMs(profile, model.pace, profile.slots, profile.slots * profile.usualPromptTokens);
    return estimatePrefillMs(profile, model.pace, promptTokens) + answerTokens * stepMs / profile.slots;
}

/** Time until the first event of a request that is sent now, in milliseconds. */
export function predictFirstEventMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    load: GroupLoad,
    promptTokens: number,
): number {
    const pace = model.pace * load.pace;
    const stepMs = computeStepMs(profile, pace, Math.min(load.running, profile.slots), load.kvUsedTokens);
    const passMs = stepMs * profile.stride;
    const ownMs = estimatePrefillMs(profile, pace, promptTokens);
    const aheadMs = estimatePrefillMs(profile, pace, profile.usualPromptTokens) * load.pendingPrefillTokens
        / Math.max(1, profile.usualPromptTokens);
    const chunks = Math.ceil((promptTokens + load.pendingPrefillTokens) / profile.prefillChunkTokens);
    return ownMs + aheadMs + chunks * passMs + estimateSlotWaitMs(profile, pace, load);
}

/** Time until a slot is free: with a full batch, requests end one after another. */
function estimateSlotWaitMs(profile: EngineProfile, pace: number, load: GroupLoad): number {
    const over = load.running + load.waiting - profile.slots + 1;
    if (over <= 0) {
        return 0;
    }
    const fullStepMs = computeStepMs(profile, pace, profile.slots, load.kvUsedTokens);
    return over * (profile.usualAnswerTokens * fullStepMs
        + profile.slots * estimatePrefillMs(profile, pace, profile.usualPromptTokens))
        / profile.slots;
}
