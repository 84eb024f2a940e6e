export interface RetryBudgetOptions {
    /** Retries added to the budget per first attempt. */
    ratio?: number;
    /** Maximum number of retries in the budget. */
    maxTokens?: number;
    /** Retries in the budget at the start; `maxTokens` by default. */
    initialTokens?: number;
}

const DEFAULT_RATIO = 0.2;
const DEFAULT_MAX_TOKENS = 50;

/** Limits retries to a fraction of first attempts, so that a failing third of the endpoints does not multiply the load. */
export class RetryBudget {
    private tokens: number;
    private readonly ratio: number;
    private maxTokens: number;

    constructor(options: RetryBudgetOptions = {}) {
        this.ratio = options.ratio ?? DEFAULT_RATIO;
        this.maxTokens = options.maxTokens ?? DEFAULT_MAX_TOKENS;
        this.tokens = Math.min(this.maxTokens, options.initialTokens ?? this.maxTokens);
    }

    /** Changes the maximum number of retries in the budget and discards retries above it. */
    setMaxTokens(maxTokens: number): void {
        this.maxTokens = maxTokens;
        this.tokens = Math.min(this.tokens, maxTokens);
    }

    /** Records a first attempt, which adds to the budget. */
    recordRequest(): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + this.ratio);
    }

    /** Adds retries to the budget. */
    add(tokens: number): void {
        this.tokens = Math.min(this.maxTokens, this.tokens + tokens);
    }

    /** Whether there is a retry in the budget. */
    hasRetry(): boolean {
        return this.tokens >= 1;
    }

    /** Takes one retry from the budget; returns `false` if there is none. */
    takeRetry(): boolean {
        if (!this.hasRetry()) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
