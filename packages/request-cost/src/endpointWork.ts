import { computeRemaining, type LogNormal } from "./logNormal.js";
import type { GenerationCost, PlainCost, TypicalRequest } from "./requestCostEstimator.js";

/** Load that an endpoint has reported. */
export interface LoadReport {
    /** Start of the endpoint's incarnation. */
    incarnation: number;
    /** Local monotonic time at which the report was received, in milliseconds; a report that isn't newer is ignored. */
    receivedAt: number;
    /** Age of the reported state when the report was received, in milliseconds. */
    lagMs: number;
    running: number;
    waiting: number;
    kvUsedTokens: number;
}

/** What is left of one request at a replica group. */
export interface RemainingRequest {
    remainingTokens: number;
    /** Tokens that it holds in KV memory. */
    contextTokens: number;
    /** Prompt tokens that are not known to be read yet; 0 once its first event has arrived. */
    pendingPromptTokens: number;
    /** 0 is served first; `undefined` if unknown. */
    priority: number | undefined;
}

export interface GroupWork {
    running: number;
    waiting: number;
    /** Tokens of this gateway's prompts that are not known to be read. */
    pendingPrefillTokens: number;
    kvUsedTokens: number;
    requests: RemainingRequest[];
}

interface OwnRequest {
    sentAt: number;
    endedAt: number | undefined;
    promptTokens: number;
    emittedTokens: number;
    /** Tokens that were emitted before it was sent here. */
    emittedBefore: number;
    hasStarted: boolean;
    answer: LogNormal | undefined;
    maxAnswerTokens: number;
    duration: LogNormal | undefined;
    priority: number | undefined;
}

/** Requests that have ended are remembered until a report can no longer include them, and at most this many. */
const MAX_ENDED = 256;
const ENDED_MEMORY_MS = 2000;
/** An own request stands for this many that other gateways send alike and no report shows yet. */
const OWN_WEIGHT = 3;
/** Shortest time constant with which others' work at a plain endpoint fades after a report, in milliseconds. */
const MIN_FADE_MS = 300;
/** The same as a multiple of a usual request's time. */
const FADE_REQUESTS = 4;

/**
 * Work that one incarnation of an endpoint still has to do: the requests of this gateway, and what its latest report
 * says beyond those.
 */
export class EndpointWork<Key extends object> {
    private readonly own = new Map<Key, OwnRequest>();
    private ended: OwnRequest[] = [];
    private report: LoadReport | undefined;
    private others = { running: 0, waiting: 0, kvTokens: 0 };

    constructor(private readonly incarnation: number) {}

    /** Adds a generation that is sent now; `emittedTokens` of its answer have been received from elsewhere. */
    addGeneration(
        key: Key,
        cost: GenerationCost,
        priority: number | undefined,
        emittedTokens: number,
        now: number,
    ): void {
        this.own.set(key, {
            sentAt: now,
            endedAt: undefined,
            promptTokens: cost.promptTokens + emittedTokens,
            emittedTokens,
            emittedBefore: emittedTokens,
            hasStarted: false,
            answer: cost.answer,
            maxAnswerTokens: cost.maxAnswerTokens,
            duration: undefined,
            priority,
        });
    }

    /** Adds a plain request that is sent now. */
    addPlain(key: Key, cost: PlainCost, now: number): void {
        this.own.set(key, {
            sentAt: now,
            endedAt: undefined,
            promptTokens: 0,
            emittedTokens: 0,
            emittedBefore: 0,
            hasStarted: false,
            answer: undefined,
            maxAnswerTokens: 0,
            duration: cost.duration,
            priority: undefined,
        });
    }

    /** Records that the answer has this many tokens so far. */
    recordProgress(key: Key, emittedTokens: number): void {
        const request = this.own.get(key);
        if (request !== undefined) {
            request.hasStarted = true;
            request.emittedTokens = Math.max(request.emittedTokens, emittedTokens);
        }
    }

    /** Removes a request that has ended here, for whatever reason. */
    remove(key: Key, now: number): void {
        const request = this.own.get(key);
        if (request === undefined) {
            return;
        }
        this.own.delete(key);
        request.endedAt = now;
        this.ended = [...this.ended.slice(1 - MAX_ENDED).filter(item => isRecent(item, now)), request];
    }

    /** Local monotonic time at which the report in use was received, in milliseconds. */
    getReportedAt(): number | undefined {
        return this.report?.receivedAt;
    }

    /** Forgets the report in use, whose source has turned out not to be valid. */
    clearReport(): void {
        this.report = undefined;
        this.others = { running: 0, waiting: 0, kvTokens: 0 };
    }

    /** Records a report. One that is not newer than the one in use, or of another incarnation, changes nothing. */
    recordReport(report: LoadReport): void {
        const isNew = report.incarnation === this.incarnation
            && (this.report === undefined || report.receivedAt > this.report.receivedAt);
        if (!isNew) {
            return;
        }
        this.report = report;
        const stateAt = report.receivedAt - report.lagMs;
        let ownThen = 0;
        let ownKvTokens = 0;
        for (const request of [...this.own.values(), ...this.ended]) {
            if (request.sentAt <= stateAt && (request.endedAt === undefined || request.endedAt > stateAt)) {
                ownThen++;
                ownKvTokens += countContext(request);
            }
        }
        const reported = report.running + report.waiting;
        const count = Math.max(0, reported - ownThen);
        const waiting = reported === 0 ? 0 : Math.round(count * report.waiting / reported);
        this.others = {
            running: count - waiting,
            waiting,
            kvTokens: Math.max(0, report.kvUsedTokens - ownKvTokens),
        };
    }

    countOwn(): number {
        return this.own.size;
    }

    /** Whether the endpoint is not known to have all its slots taken. */
    hasFreeSlot(slots: number): boolean {
        return this.own.size + this.others.running + this.others.waiting < slots;
    }

    /** Estimates the work of a replica group; each request of others counts as `typical`. */
    estimateGroup(typical: TypicalRequest): GroupWork {
        const { running, waiting, kvTokens } = this.others;
        const requests: RemainingRequest[] = [];
        let pendingPrefillTokens = 0;
        let kvUsedTokens = kvTokens;
        const sentAfter = this.report === undefined ? undefined : this.report.receivedAt - this.report.lagMs;
        let sentSince = 0;
        for (const request of this.own.values()) {
            const pending = request.hasStarted ? 0 : request.promptTokens;
            const contextTokens = countContext(request);
            pendingPrefillTokens += pending;
            kvUsedTokens += contextTokens;
            sentSince += sentAfter === undefined || request.sentAt > sentAfter ? 1 : 0;
            requests.push({
                remainingTokens: request.answer === undefined
                    ? typical.answerTokens
                    : computeRemaining(request.answer, request.emittedTokens, request.maxAnswerTokens),
                contextTokens,
                pendingPromptTokens: pending,
                priority: request.priority,
            });
        }
        const othersContext = running === 0 ? 0 : kvTokens / running;
        for (let at = 0; at < running + waiting; at++) {
            const isWaiting = at >= running;
            requests.push({
                remainingTokens: isWaiting
                    ? typical.answerTokens
                    : computeQuantile(typical.remainingTokens, (at + 0.5) / running),
                contextTokens: isWaiting ? 0 : othersContext,
                pendingPromptTokens: isWaiting ? typical.promptTokens : 0,
                priority: undefined,
            });
        }
        const total = requests.length;
        const waitingNow = Math.min(total, (this.report?.waiting ?? 0) + sentSince);
        return {
            running: total - waitingNow,
            waiting: waitingNow,
            pendingPrefillTokens,
            kvUsedTokens,
            requests,
        };
    }

    /** Estimates the remaining work of this gateway's requests at a replica group, in typical requests. */
    estimateOwnRequests(typical: TypicalRequest): number {
        let tokens = 0;
        for (const { answer, emittedTokens, maxAnswerTokens } of this.own.values()) {
            tokens += answer === undefined ? 0 : computeRemaining(answer, emittedTokens, maxAnswerTokens);
        }
        return tokens / Math.max(1, typical.remainingTokens);
    }

    /**
     * Estimates the remaining milliseconds of all requests at a plain endpoint; each of the others' takes `usualMs`. What
     * a report says of others fades, since plain endpoints report only in their responses.
     */
    estimatePlainMs(usualMs: number, now: number): number {
        let sumMs = 0;
        for (const { duration, sentAt } of this.own.values()) {
            sumMs += duration === undefined ? usualMs : computeRemaining(duration, now - sentAt);
        }
        const ageMs = Math.max(0, now - (this.report?.receivedAt ?? now));
        const fade = Math.exp(-ageMs / Math.max(MIN_FADE_MS, FADE_REQUESTS * usualMs));
        return sumMs + (this.others.running + this.others.waiting) * usualMs * fade;
    }
}

/**
 * Computes what is added to a group's predicted time when groups are compared. Gateways with the same late reports would
 * all choose the same group; each spreads its own work, which it knows exactly. `ownRequests` is that work at the group,
 * `additionMs` what one more request adds to the prediction, `random` a number in [0, 1).
 */
export function computeSpreadMs(ownRequests: number, additionMs: number, random: number): number {
    return additionMs * (OWN_WEIGHT * ownRequests + random);
}

/**
 * Quantile of an exponential distribution. Were all that run to end at the mean, the first slot would count as free far
 * too late.
 */
function computeQuantile(mean: number, fraction: number): number {
    return -mean * Math.log(1 - fraction);
}

function isRecent({ endedAt }: OwnRequest, now: number): boolean {
    return endedAt !== undefined && now - endedAt < ENDED_MEMORY_MS;
}

/** Tokens that a request holds in KV memory. A prompt that isn't known to be read counts as not held. */
function countContext({ hasStarted, promptTokens, emittedTokens, emittedBefore }: OwnRequest): number {
    return hasStarted ? promptTokens + emittedTokens - emittedBefore : 0;
}
