export interface TokenBucketOptions {
    /** Tokens a second. */
    rate: number;
    /** Tokens that may be saved up. */
    burst: number;
}

/** Rate limit. Time is passed in, in milliseconds on any monotonic clock. */
export class TokenBucket {
    private tokens: number;
    private lastAt: number;

    constructor(private options: TokenBucketOptions, now: number) {
        this.tokens = options.burst;
        this.lastAt = now;
    }

    /** Takes a token. Returns 0 when there was one, else the milliseconds until there will be. */
    take(now: number): number {
        this.addTokens(now);
        if (this.tokens >= 1) {
            this.tokens--;
            return 0;
        }
        return Math.ceil((1 - this.tokens) / this.options.rate * 1000);
    }

    /** Changes rate and burst; what was saved up is kept up to the new burst. */
    setOptions(options: TokenBucketOptions, now: number): void {
        this.addTokens(now);
        this.options = options;
        this.tokens = Math.min(this.tokens, options.burst);
    }

    private addTokens(now: number): void {
        this.tokens = Math.min(this.options.burst, this.tokens + (now - this.lastAt) / 1000 * this.options.rate);
        this.lastAt = now;
    }
}
