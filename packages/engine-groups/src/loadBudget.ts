export interface LoadBudgetOptions {
    loadsPerSecond: number;
    /** Loads beyond this many at a time slow each other down. */
    maxConcurrent: number;
    /** Loads that may start at once after a pause. */
    burst?: number;
}

const DEFAULT_BURST = 3;

/** Keeps the starts of loads from the weight store within its rate. */
export class LoadBudget {
    private tokens: number;
    private updatedAt: number;
    private readonly running: number[] = [];

    constructor(private readonly options: LoadBudgetOptions, now: number) {
        // A predecessor may just have spent what a full budget would give.
        this.tokens = 0;
        this.updatedAt = now;
    }

    /** Takes one load that lasts about `durationMs`; `false` when none may start now, or fewer than `keptFree` more could. */
    admitLoad(now: number, durationMs: number, keptFree = 0): boolean {
        const { loadsPerSecond, maxConcurrent } = this.options;
        const burst = this.options.burst ?? DEFAULT_BURST;
        this.tokens = Math.min(burst, this.tokens + (now - this.updatedAt) / 1000 * loadsPerSecond);
        this.updatedAt = now;
        while (this.running.length > 0 && this.running[0] <= now) {
            this.running.shift();
        }
        if (this.tokens < 1 || this.running.length + keptFree >= maxConcurrent) {
            return false;
        }
        this.tokens--;
        this.running.push(now + durationMs);
        this.running.sort((left, right) => left - right);
        return true;
    }
}
