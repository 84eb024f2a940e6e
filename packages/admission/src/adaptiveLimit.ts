export interface AdaptiveLimitOptions {
    initial?: number;
    min?: number;
    max?: number;
    /** Latency growth over the best seen at which the limit shrinks. */
    tolerance?: number;
}

const DEFAULT_INITIAL = 32;
const DEFAULT_MIN = 1;
const DEFAULT_MAX = 1024;
const DEFAULT_TOLERANCE = 2;
const SMOOTHING = 0.1;
/** How fast the baseline follows a lasting change of latency. */
const BASELINE_DRIFT = 0.002;

/** Concurrency limit of one endpoint, from observed time to the first byte: grows while latency is flat, shrinks when it rises. */
export class AdaptiveLimit {
    private limit: number;
    private baselineMs: number | undefined;
    private readonly options: Required<AdaptiveLimitOptions>;

    constructor(options: AdaptiveLimitOptions = {}) {
        this.options = {
            initial: options.initial ?? DEFAULT_INITIAL,
            min: options.min ?? DEFAULT_MIN,
            max: options.max ?? DEFAULT_MAX,
            tolerance: options.tolerance ?? DEFAULT_TOLERANCE,
        };
        this.limit = this.options.initial;
    }

    /** Requests that may be in flight. */
    getLimit(): number {
        return Math.floor(this.limit);
    }

    /** Records a request that was answered. Requests that ran while the limit was hardly used say nothing about it. */
    recordLatency(latencyMs: number, inFlight: number): void {
        const baseline = this.baselineMs ?? latencyMs;
        this.baselineMs = latencyMs < baseline ? latencyMs : baseline + (latencyMs - baseline) * BASELINE_DRIFT;
        const gradient = Math.max(0.5, Math.min(1, this.options.tolerance * baseline / Math.max(latencyMs, 0.001)));
        if (gradient === 1 && inFlight * 2 < this.limit) {
            return;
        }
        const target = this.limit * gradient + Math.sqrt(this.limit);
        this.setLimit(this.limit * (1 - SMOOTHING) + target * SMOOTHING);
    }

    /** Records a request that the endpoint turned away as overloaded. */
    recordOverload(): void {
        this.setLimit(this.limit * 0.9);
    }

    private setLimit(limit: number): void {
        this.limit = Math.max(this.options.min, Math.min(this.options.max, limit));
    }
}
