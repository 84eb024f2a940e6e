import { estimateServiceMs } from "@kumquathall/engine-model";
import type { DemandItem, EngineProfile, ModelDemandCast } from "@kumquathall/types";

/** What is known of a request when its head has arrived. */
export interface OfferedRequest {
    service: string;
    profile: EngineProfile;
    model: string | undefined;
    promptTokens: number | undefined;
    maxAnswerTokens: number | undefined;
    /** The caller's estimate of the answer's length. */
    answerTokensHint: number | undefined;
    /** Estimated time since the caller first sent the request, in milliseconds. */
    ageMs: number;
}

/** Age from which a request is one that returns after a refusal, in milliseconds; refusals name at least 150 ms. */
const MIN_RETURN_AGE_MS = 100;

/** Sums the work that callers offer to one gateway, by service and model. */
export class DemandMeter {
    private readonly items = new Map<string, DemandItem>();
    private startedAt: number;

    constructor(now: number) {
        this.startedAt = now;
    }

    /** Counts a caller's request, unless it returns after a refusal or its model isn't listed. */
    record(request: OfferedRequest): void {
        const { service, profile, model: name } = request;
        const model = profile.models.find(item => item.name === name);
        if (model === undefined || request.ageMs >= MIN_RETURN_AGE_MS) {
            return;
        }
        const workMs = model.groupSize
            * estimateServiceMs(profile, model, estimatePromptTokens(request), estimateAnswerTokens(request));
        if (!Number.isFinite(workMs) || workMs < 0) {
            return;
        }
        const key = JSON.stringify([service, model.name]);
        const item = this.items.get(key) ?? { service, model: model.name, workMs: 0, requests: 0 };
        item.workMs += workMs;
        item.requests++;
        this.items.set(key, item);
    }

    /** Returns the work since the last call and begins a new interval; `undefined` if there was none. */
    collect(now: number): ModelDemandCast | undefined {
        const items = [...this.items.values()];
        const intervalMs = Math.max(1, now - this.startedAt);
        this.items.clear();
        this.startedAt = now;
        return items.length === 0 ? undefined : { kind: "modelDemand", items, intervalMs };
    }
}

function estimatePromptTokens({ profile, promptTokens }: OfferedRequest): number {
    return computeCountedTokens(promptTokens ?? profile.usualPromptTokens, profile);
}

function estimateAnswerTokens({ profile, answerTokensHint, maxAnswerTokens }: OfferedRequest): number {
    const expected = answerTokensHint ?? profile.usualAnswerTokens;
    return computeCountedTokens(Math.min(expected, maxAnswerTokens ?? Number.POSITIVE_INFINITY), profile);
}

/** A request with more tokens than a group's memory holds can't run, so its headers count for no more. */
function computeCountedTokens(tokens: number, profile: EngineProfile): number {
    return Math.min(Math.max(0, tokens), profile.kvCapacityTokens);
}
