export interface AdaptiveLimitOptions {
    initial?: number;
    min?: number;
    max?: number;
    /** Ratio of a request's latency to the baseline above which the limit shrinks. */
    tolerance?: number;
}

const DEFAULT_INITIAL = 32;
const DEFAULT_MIN = 1;
const DEFAULT_MAX = 1024;
const DEFAULT_TOLERANCE = 2;
/** Weight of the newest target in the moving average that is the limit. */
const SMOOTHING = 0.1;
/** Fraction by which the baseline moves towards each higher latency, so that it follows a lasting increase. */
const BASELINE_DRIFT = 0.002;

/**
 * Adaptive concurrency limit of one endpoint, driven by the time to the first byte: the limit grows while latency stays
 * near its baseline and shrinks when latency rises.
 */
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

    /** Number of requests that may be in flight. */
    getLimit(): number {
        return Math.floor(this.limit);
    }

    /**
     * Records the time to the first byte of an answered request. While less than half of the limit is in use, a low
     * latency does not raise the limit, because it does not show that the endpoint can handle more.
     */
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

    /** Records a request that the endpoint rejected because of overload. */
    recordOverload(): void {
        this.setLimit(this.limit * 0.9);
    }

    private setLimit(limit: number): void {
        this.limit = Math.max(this.options.min, Math.min(this.options.max, limit));
    }
}
