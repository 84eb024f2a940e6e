import type { PrefixCache } from "./prefixCache.js";

/** One request in the engine. */
export interface EngineRequest {
    id: string;
    tokens: string[];
    prefixHashes: string[];
    priority: number;
    /** Called for each token in order. */
    emit: (token: string) => void;
    finish: () => void;
}

export interface SchedulerOptions {
    /** Duration of one batch step, in milliseconds; 0 answers at once. */
    stepMs: number;
    /** Time to compute one uncached prefix block, in milliseconds. */
    blockMs: number;
    maxBatch: number;
}

interface RunningRequest {
    request: EngineRequest;
    nextToken: number;
    prefillLeftMs: number;
}

/** Continuous batching: every step gives one token to each running request; waiting ones join as others end, by priority. */
export class EngineScheduler {
    private running: RunningRequest[] = [];
    private waiting: EngineRequest[] = [];
    private timer: NodeJS.Timeout | undefined;
    /** Multiplies the step time: a straggling engine. */
    slowFactor = 1;

    constructor(private readonly options: SchedulerOptions, private readonly cache: PrefixCache) {}

    getRunning(): number {
        return this.running.length;
    }

    getQueued(): number {
        return this.waiting.length;
    }

    /** Adds a request. */
    submit(request: EngineRequest): void {
        if (this.options.stepMs === 0) {
            this.cache.store(request.prefixHashes);
            request.tokens.forEach(token => request.emit(token));
            request.finish();
            return;
        }
        const at = this.waiting.findIndex(other => other.priority < request.priority);
        this.waiting.splice(at < 0 ? this.waiting.length : at, 0, request);
        this.schedule();
    }

    /** Stops a request that its caller no longer wants. */
    cancel(id: string): void {
        this.running = this.running.filter(item => item.request.id !== id);
        this.waiting = this.waiting.filter(request => request.id !== id);
    }

    /** Drops everything at once, without finishing it. */
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
            if (item.prefillLeftMs > 0) {
                const spentMs = Math.min(prefillBudgetMs, item.prefillLeftMs);
                prefillBudgetMs -= spentMs;
                item.prefillLeftMs -= spentMs;
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
            const missing = request.prefixHashes.length - this.cache.countCached(request.prefixHashes);
            this.running.push({ request, nextToken: 0, prefillLeftMs: missing * this.options.blockMs });
        }
    }
}
