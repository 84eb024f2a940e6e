import type { EngineProfile } from "@kumquathall/types";
import { BoundedMap } from "./boundedMap.js";
import { computeAt, type LogLine, LogLineFit } from "./logLine.js";
import { computeMean, type LogNormal } from "./logNormal.js";

/** What is known of a generation when it arrives. */
export interface GenerationTraits {
    service: string;
    model: string;
    route: string;
    account: string | undefined;
    promptTokens: number | undefined;
    maxAnswerTokens: number | undefined;
    /** The caller's estimate of the answer's tokens. */
    answerTokensHint: number | undefined;
}

export interface GenerationCost {
    promptTokens: number;
    /** Distribution of the answer's tokens. */
    answer: LogNormal;
    maxAnswerTokens: number;
    /** Expected tokens of the answer. */
    answerTokens: number;
}

/** What is known of a request to a plain service when it arrives. */
export interface PlainTraits {
    route: string;
    method: string;
    account: string | undefined;
    bodyBytes: number;
}

export interface PlainCost {
    /** Distribution of the time in a slot of the endpoint, in milliseconds. */
    duration: LogNormal;
    /** Expected time, in milliseconds. */
    ms: number;
}

/** What a request of a model usually takes; stands for requests of which nothing else is known. */
export interface TypicalRequest {
    promptTokens: number;
    answerTokens: number;
    /** Expected remaining tokens of a request that is seen at a random moment while it runs. */
    remainingTokens: number;
}

export type UsualTokens = Pick<EngineProfile, "usualPromptTokens" | "usualAnswerTokens">;

/** Histories of each kind that are kept: routes, accounts on a route, models. */
const MAX_HISTORIES = 2048;
/** Counts of tokens and bytes are cut to this. */
const MAX_COUNT = 10_000_000;
/** Variance of the logarithm of answer over hint before anything is known: hints are often off by a factor of two. */
const INITIAL_VARIANCE = 0.5;
/** Time of a plain request before the first has ended, in milliseconds. */
const INITIAL_PLAIN_MS = 25;
/** Size classes of plain requests are powers of this. */
const SIZE_CLASS_BASE = 4;
/** Weight of an earlier request in the means of a model, relative to the next one. */
const TYPICAL_DECAY = 0.98;
/** Weight of the profile's usual values in these means, in requests. */
const TYPICAL_PRIOR_WEIGHT = 6;

interface ModelHistory {
    weight: number;
    promptSum: number;
    answerSum: number;
    answerSquareSum: number;
}

const PLAIN_LINE: LogLine = {
    intercept: Math.log(INITIAL_PLAIN_MS),
    slope: 0,
    variance: INITIAL_VARIANCE,
    centre: 0,
};

/** Estimates what requests cost from what they declare and from what earlier requests took. */
export class RequestCostEstimator {
    private readonly lines = new BoundedMap<LogLineFit>(MAX_HISTORIES);
    private readonly models = new BoundedMap<ModelHistory>(MAX_HISTORIES);

    estimateGeneration(traits: GenerationTraits, usual: UsualTokens, now: number): GenerationCost {
        const x = computeHint(traits, usual);
        const line = this.computeLine(listGenerationKeys(traits), computeInitialLine(usual), now);
        const answer = computeAt(line, x);
        const maxAnswerTokens = Math.max(1, Math.min(MAX_COUNT, traits.maxAnswerTokens ?? MAX_COUNT));
        return {
            promptTokens: Math.min(MAX_COUNT, traits.promptTokens ?? usual.usualPromptTokens),
            answer,
            maxAnswerTokens,
            answerTokens: computeMean(answer, maxAnswerTokens),
        };
    }

    /** Learns from a generation that was answered in full. */
    recordGeneration(traits: GenerationTraits, answerTokens: number, usual: UsualTokens, now: number): void {
        const tokens = Math.min(MAX_COUNT, answerTokens);
        const y = Math.log(Math.max(1, tokens));
        this.addSample(listGenerationKeys(traits), computeHint(traits, usual), y, now);
        const history = this.models.getOrCreate(formatModelKey(traits), createModelHistory);
        history.weight = history.weight * TYPICAL_DECAY + 1;
        history.promptSum = history.promptSum * TYPICAL_DECAY
            + Math.min(MAX_COUNT, traits.promptTokens ?? usual.usualPromptTokens);
        history.answerSum = history.answerSum * TYPICAL_DECAY + tokens;
        history.answerSquareSum = history.answerSquareSum * TYPICAL_DECAY + tokens * tokens;
    }

    /** Before anything is known, answers count as exponentially distributed: the rest is as long as the whole. */
    estimateTypical(model: { service: string; model: string }, usual: UsualTokens): TypicalRequest {
        const history = this.models.get(formatModelKey(model)) ?? createModelHistory();
        const { usualPromptTokens, usualAnswerTokens } = usual;
        const weight = history.weight + TYPICAL_PRIOR_WEIGHT;
        const answerSum = history.answerSum + TYPICAL_PRIOR_WEIGHT * usualAnswerTokens;
        const answerSquareSum = history.answerSquareSum + TYPICAL_PRIOR_WEIGHT * 2 * usualAnswerTokens ** 2;
        return {
            promptTokens: (history.promptSum + TYPICAL_PRIOR_WEIGHT * usualPromptTokens) / weight,
            answerTokens: answerSum / weight,
            remainingTokens: answerSum === 0 ? 0 : answerSquareSum / answerSum / 2,
        };
    }

    estimatePlain(traits: PlainTraits, now: number): PlainCost {
        const duration = computeAt(this.computeLine(listPlainKeys(traits), PLAIN_LINE, now), 0);
        return { duration, ms: computeMean(duration) };
    }

    /**
     * Learns from a plain request that was answered. If no slot was free when it was sent, its time includes an unknown wait
     * and counts only where it shows that the estimate is too high.
     */
    recordPlain(traits: PlainTraits, ms: number, hadFreeSlot: boolean, now: number): void {
        const y = Math.log(Math.max(0.1, ms));
        if (hadFreeSlot || y < this.estimatePlain(traits, now).duration.logMean) {
            this.addSample(listPlainKeys(traits), 0, y, now);
        }
    }

    /** Number of histories that are kept. */
    countHistories(): number {
        return this.lines.count() + this.models.count();
    }

    /** Fits each history in turn, with the line of the one before as its prior. */
    private computeLine(keys: string[], initial: LogLine, now: number): LogLine {
        return keys.reduce((prior, key) => this.lines.get(key)?.computeLine(prior, now) ?? prior, initial);
    }

    private addSample(keys: string[], x: number, y: number, now: number): void {
        for (const key of keys) {
            this.lines.getOrCreate(key, () => new LogLineFit()).add(x, y, now);
        }
    }
}

function createModelHistory(): ModelHistory {
    return { weight: 0, promptSum: 0, answerSum: 0, answerSquareSum: 0 };
}

/** The hint is right at the median until requests show otherwise. */
function computeInitialLine({ usualAnswerTokens }: UsualTokens): LogLine {
    return { intercept: 0, slope: 1, variance: INITIAL_VARIANCE, centre: Math.log(Math.max(1, usualAnswerTokens)) };
}

function computeHint({ answerTokensHint, maxAnswerTokens }: GenerationTraits, usual: UsualTokens): number {
    const hint = Math.min(answerTokensHint ?? usual.usualAnswerTokens, maxAnswerTokens ?? MAX_COUNT, MAX_COUNT);
    return Math.log(Math.max(1, hint));
}

function formatModelKey({ service, model }: { service: string; model: string }): string {
    return `${service}/${model}`;
}

/** Keys of the histories of a generation, the most general first. Requests with and without a hint are kept apart. */
function listGenerationKeys({ service, model, route, account, answerTokensHint }: GenerationTraits): string[] {
    const kind = answerTokensHint === undefined ? "usual" : "hint";
    const general = ["generation", service, model, route, kind].join("\n");
    return account === undefined ? [general] : [general, `${general}\n${account}`];
}

function listPlainKeys({ route, method, account, bodyBytes }: PlainTraits): string[] {
    const sizeClass = Math.ceil(Math.log(Math.max(1, bodyBytes)) / Math.log(SIZE_CLASS_BASE));
    const general = ["plain", route].join("\n");
    const specific = [general, method, sizeClass].join("\n");
    return account === undefined ? [general, specific] : [general, specific, `${specific}\n${account}`];
}
