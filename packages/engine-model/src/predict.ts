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
    /** What is left of each request that runs or waits; without it, each counts with the profile's usual values. */
    requests?: readonly GroupRequest[];
}

/** What is left of one request at a replica group. */
export interface GroupRequest {
    remainingTokens: number;
    /** Tokens that it holds in KV memory. */
    contextTokens: number;
    /** Prompt tokens that are not known to be read yet; 0 once its first event has arrived. */
    pendingPromptTokens: number;
    /** 0 is served first; `undefined` if unknown. */
    priority: number | undefined;
}

/** What is known of the request beyond its prompt. */
export interface PredictedRequest {
    answerTokens?: number;
    /** 0 is served first; requests that wait with a higher number are overtaken. */
    priority?: number;
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

/** Estimates by how much one more prompt delays the first event of the next request at a group, in milliseconds. */
export function estimateAdditionMs(profile: EngineProfile, model: EngineModelProfile, promptTokens: number): number {
    const stepMs = computeStepMs(profile, model.pace, profile.slots, profile.slots * profile.usualPromptTokens);
    return estimatePrefillMs(profile, model.pace, promptTokens) + stepMs * profile.stride;
}

/** Predicts the time until the first event of a request that is sent now, in milliseconds. */
export function predictFirstEventMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    load: GroupLoad,
    promptTokens: number,
    request: PredictedRequest = {},
): number {
    const pace = model.pace * load.pace;
    const stepMs = computeStepMs(profile, pace, Math.min(load.running, profile.slots), load.kvUsedTokens);
    const passMs = stepMs * profile.stride;
    const prefillMs = estimatePrefillMs(profile, pace, promptTokens);
    if (load.requests !== undefined) {
        const wait = estimateWait(profile, pace, load, load.requests, promptTokens, request);
        const ownChunks = Math.ceil(promptTokens / profile.prefillChunkTokens);
        const chunks = Math.ceil((promptTokens + wait.prefillTokens) / profile.prefillChunkTokens);
        // Prompts are read while a slot is awaited.
        const aheadMs = Math.max(wait.prefillMs + (chunks - ownChunks) * passMs, wait.slotMs, wait.memoryMs);
        return prefillMs + ownChunks * passMs + aheadMs;
    }
    const prefillAheadMs = estimatePrefillMs(profile, pace, profile.usualPromptTokens) * load.pendingPrefillTokens
        / Math.max(1, profile.usualPromptTokens);
    const prefillChunks = Math.ceil((promptTokens + load.pendingPrefillTokens) / profile.prefillChunkTokens);
    return prefillMs + prefillAheadMs + prefillChunks * passMs + estimateSlotWaitMs(profile, pace, load);
}

/**
 * Predicts the longest time between two events of the requests that run in a group, once one more request is sent there:
 * one pass, with the slowest chunk of a prompt that is read between the tokens. In milliseconds.
 */
export function predictEventGapMs(
    profile: EngineProfile,
    model: EngineModelProfile,
    load: GroupLoad,
    promptTokens: number,
): number {
    const pace = model.pace * load.pace;
    const running = Math.min(load.running + load.waiting + 1, profile.slots);
    const stepMs = computeStepMs(profile, pace, running, load.kvUsedTokens + promptTokens);
    const longestPrompt = (load.requests ?? []).reduce(
        (longest, { pendingPromptTokens }) => Math.max(longest, pendingPromptTokens),
        promptTokens,
    );
    const chunkTokens = Math.min(profile.prefillChunkTokens, promptTokens + load.pendingPrefillTokens);
    const lastChunk = Math.min(chunkTokens, longestPrompt);
    // The last chunk of a prompt is compared with all tokens before it.
    const pairs = lastChunk * Math.max(0, longestPrompt - lastChunk);
    const attentionMs = pace * pairs / PAIRS_PER_MILLION * profile.pairsMsPerMillion;
    return stepMs * profile.stride + estimatePrefillMs(profile, pace, chunkTokens) + attentionMs;
}

/** Whether a group's KV memory is too small for one more request, so that the engine would preempt others. */
export function isMemoryExceeded(
    profile: EngineProfile,
    load: GroupLoad,
    promptTokens: number,
    answerTokens: number,
): boolean {
    return load.kvUsedTokens + load.pendingPrefillTokens + promptTokens + answerTokens > profile.kvCapacityTokens;
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

interface Wait {
    /** Time until a slot is free for the request, in milliseconds. */
    slotMs: number;
    /** Time until ended requests have released the memory that its prompt needs, in milliseconds. */
    memoryMs: number;
    /** Tokens of prompts that are read before its own, and the time for it. */
    prefillTokens: number;
    prefillMs: number;
}

/** Estimates what a request waits for, from what remains of each request before it. */
function estimateWait(
    profile: EngineProfile,
    pace: number,
    load: GroupLoad,
    requests: readonly GroupRequest[],
    promptTokens: number,
    { priority }: PredictedRequest,
): Wait {
    const { slots } = profile;
    const isAhead = (other: GroupRequest) =>
        priority === undefined || other.priority === undefined || other.priority <= priority;
    const started = requests.filter(other => other.pendingPromptTokens === 0);
    const pending = requests.filter(other => other.pendingPromptTokens > 0);
    // Requests that are less urgent hold slots only if all that were sent have one.
    const hasSlots = requests.length <= slots;
    const ahead = hasSlots ? pending : pending.filter(isAhead);
    const prefillTokens = ahead.reduce((sum, other) => sum + other.pendingPromptTokens, 0);
    const prefillMs = ahead.reduce(
        (sum, other) => sum + estimatePrefillMs(profile, pace, other.pendingPromptTokens),
        0,
    );
    const fullStepMs = computeStepMs(profile, pace, Math.min(slots, started.length + ahead.length), load.kvUsedTokens);
    const endings = started.map(other => other.remainingTokens).sort((left, right) => left - right);
    const slotTokens = computeSlotTokens(endings, ahead, slots);
    const neededTokens = load.kvUsedTokens + prefillTokens + promptTokens - profile.kvCapacityTokens;
    return {
        slotMs: slotTokens === 0 ? 0 : slotTokens * fullStepMs + prefillMs,
        memoryMs: neededTokens <= 0 ? 0 : computeReleaseTokens(started, neededTokens) * fullStepMs,
        prefillTokens,
        prefillMs,
    };
}

/** Computes after how many tokens of each running request a slot is free behind those that are `ahead`. */
function computeSlotTokens(endings: number[], ahead: readonly GroupRequest[], slots: number): number {
    if (endings.length + ahead.length < slots) {
        return 0;
    }
    // More requests than slots run only if a report is late; those that end first have ended.
    const ends = endings.slice(Math.max(0, endings.length - slots));
    for (const { remainingTokens } of ahead) {
        const startsAt = ends.length < slots ? 0 : ends.shift() ?? 0;
        insertSorted(ends, startsAt + remainingTokens);
    }
    return ends.length < slots ? 0 : ends[0];
}

function insertSorted(values: number[], value: number): void {
    const at = values.findIndex(other => other > value);
    values.splice(at < 0 ? values.length : at, 0, value);
}

/** Computes after how many tokens of each running request those that have ended have released `neededTokens`. */
function computeReleaseTokens(started: readonly GroupRequest[], neededTokens: number): number {
    let released = 0;
    let after = 0;
    for (
        const { remainingTokens, contextTokens } of [...started].sort((a, b) => a.remainingTokens - b.remainingTokens)
    ) {
        released += contextTokens + remainingTokens;
        after = remainingTokens;
        if (released >= neededTokens) {
            break;
        }
    }
    return after;
}
