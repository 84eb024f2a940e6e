import type { PrefixCache } from "./prefixCache.js";

/** One request with the tokens to emit. */
export interface EngineRequest {
    id: string;
    tokens: string[];
    prefixHashes: string[];
    priority: number;
    /** Called with each token in order. */
    emit: (token: string) => void;
    /** Called after the last token. */
    finish: () => void;
}

export interface SchedulerOptions {
    /** Duration of one batch step, in milliseconds; with 0, a request is completed as soon as it is submitted. */
    stepMs: number;
    /** Time to compute one uncached prefix block, in milliseconds. */
    blockMs: number;
    maxBatch: number;
}

interface RunningRequest {
    request: EngineRequest;
    nextToken: number;
    remainingPrefillMs: number;
}

/**
 * Continuous batching: each step emits one token per running request. Waiting requests are admitted in order of priority
 * as running ones finish.
 */
export class EngineScheduler {
    private running: RunningRequest[] = [];
    private waiting: EngineRequest[] = [];
    private timer: NodeJS.Timeout | undefined;
    /** Multiplies the step duration; above 1, the engine becomes a straggler. */
    slowFactor = 1;

    constructor(private readonly options: SchedulerOptions, private readonly cache: PrefixCache) {}

    countRunning(): number {
        return this.running.length;
    }

    countQueued(): number {
        return this.waiting.length;
    }

    /** Queues a request behind those of the same or a higher priority. */
    submit(request: EngineRequest): void {
        if (this.options.stepMs === 0) {
            this.cache.store(request.prefixHashes);
            request.tokens.forEach(token => request.emit(token));
            request.finish();
            return;
        }
        const index = this.waiting.findIndex(other => other.priority < request.priority);
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
        this.schedule();
    }

    /** Removes a request without finishing it, after its client has disconnected. */
    cancel(id: string): void {
        this.running = this.running.filter(item => item.request.id !== id);
        this.waiting = this.waiting.filter(request => request.id !== id);
    }

    /** Discards all running and waiting requests without finishing them. */
    abort(): void {
        this.running = [];
        this.waiting = [];
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    private schedule(): void {
        this.timer ??= setTimeout(() => this.step(), this.options.stepMs * this.slowFactor);
    }

    private step(): void {
        this.timer = undefined;
        this.admit();
        let prefillBudgetMs = this.options.stepMs;
        const finished: RunningRequest[] = [];
        for (const item of this.running) {
            if (item.remainingPrefillMs > 0) {
                const spentMs = Math.min(prefillBudgetMs, item.remainingPrefillMs);
                prefillBudgetMs -= spentMs;
                item.remainingPrefillMs -= spentMs;
                continue;
            }
            item.request.emit(item.request.tokens[item.nextToken++]);
            if (item.nextToken >= item.request.tokens.length) {
                finished.push(item);
            }
        }
        this.running = this.running.filter(item => !finished.includes(item));
        for (const item of finished) {
            this.cache.store(item.request.prefixHashes);
            item.request.finish();
        }
        if (this.running.length + this.waiting.length > 0) {
            this.schedule();
        }
    }

    private admit(): void {
        while (this.running.length < this.options.maxBatch) {
            const request = this.waiting.shift();
            if (request === undefined) {
                return;
            }
            const uncachedBlocks = request.prefixHashes.length - this.cache.countCached(request.prefixHashes);
            this.running.push({ request, nextToken: 0, remainingPrefillMs: uncachedBlocks * this.options.blockMs });
        }
    }
}
