export interface RetryBudgetOptions {
    /** Retries earned by each first attempt. */
    ratio?: number;
    /** Retries that may be saved up. */
    maxTokens?: number;
    /** Retries that are there at the start; as many as may be saved up, if it is not given. */
    initialTokens?: number;
}

const DEFAULT_RATIO = 0.2;
const DEFAULT_MAX_TOKENS = 50;

/** Bounds retries to a share of first attempts, so that a failing third of the endpoints does not multiply the load. */
export class RetryBudget {
    private tokens: number;
    private readonly ratio: number;
    private maxTokens: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.ratio = options.ratio ?? DEFAULT_RATIO;
        this.maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
        this.tokens = Math.min(this.maxTokens, options.initialTokens ?? this.maxTokens);
    }

    /** Changes how many retries may be saved up; what is saved beyond that is lost. */
    setMaxTokens(maxTokens: number): void {
        this.maxTokens = maxTokens;
        this.tokens = Math.min(this.tokens, maxTokens);
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
    }

    /** Takes one retry out of the budget; `false` when it is spent. */
    takeRetry(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
