export interface TokenBucketOptions {
    /** Tokens that are added per second. */
    rate: number;
    /** Maximum number of tokens in the bucket. */
    burst: number;
}

/** Token bucket rate limiter. Times are milliseconds of any monotonic clock. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    constructor(private options: TokenBucketOptions, now: number) {
        this.tokens = options.burst;
        this.refilledAt = now;
    }

    /** Takes a token. Returns 0 if one was available, otherwise the milliseconds until one will be. */
    take(now: number): number {
        this.addTokens(now);
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return Math.ceil((1 - this.tokens) / this.options.rate * 1000);
    }

    /** Changes rate and burst. Keeps the available tokens, up to the new burst. */
    setOptions(options: TokenBucketOptions, now: number): void {
        this.addTokens(now);
        this.options = options;
        this.tokens = Math.min(this.tokens, options.burst);
    }

    private addTokens(now: number): void {
        this.tokens = Math.min(this.options.burst, this.tokens + (now - this.refilledAt) / 1000 * this.options.rate);
        this.refilledAt = now;
    }
}
