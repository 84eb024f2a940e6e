export interface LoadBudgetOptions {
    loadsPerSecond: number;
    /** Loads that may run at once; with more, each load becomes slower. */
    maxConcurrent: number;
    /** Loads that may start together after an idle period. */
    burst?: number;
}

const DEFAULT_BURST = 3;

/** Token bucket and concurrency limit for loads from the weight store. Times are monotonic milliseconds. */
export class LoadBudget {
    private tokens: number;
    private updatedAt: number;
    /** Expected ends of the running loads, ascending. */
    private readonly runningUntil: number[] = [];

    constructor(private readonly options: LoadBudgetOptions, now: number) {
        // Starts empty because the previous leader may have used a full budget just before.
        this.tokens = 0;
        this.updatedAt = now;
    }

    /**
     * Admits one load of about `durationMs`. Returns `false` if no load may start now or if fewer than `reservedSlots`
     * more could then run beside it.
     */
    admitLoad(now: number, durationMs: number, reservedSlots = 0): boolean {
        const { loadsPerSecond, maxConcurrent } = this.options;
        const burst = this.options.burst ?? DEFAULT_BURST;
        this.tokens = Math.min(burst, this.tokens + (now - this.updatedAt) / 1000 * loadsPerSecond);
        this.updatedAt = now;
        while (this.runningUntil.length > 0 && this.runningUntil[0] <= now) {
            this.runningUntil.shift();
        }
        if (this.tokens < 1 || this.runningUntil.length + reservedSlots >= maxConcurrent) {
            return false;
        }
        this.tokens--;
        this.runningUntil.push(now + durationMs);
        this.runningUntil.sort((left, right) => left - right);
        return true;
    }
}
