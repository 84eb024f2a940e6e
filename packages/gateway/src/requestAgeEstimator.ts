/** Deadlines of a route that are remembered; the median of so many is off by 3% of their spread. */
const MAX_DEADLINES = 256;
/** With fewer deadlines than this, the shortest one bounds those of first attempts. */
const MIN_DEADLINES = 64;
/** Deadlines after which the bound is computed again. */
const RECOMPUTE_EVERY = 32;
/** Deadlines after which a spread that was computed is forgotten. */
const FORGET_SPREAD_AFTER = 2048;
/** Deadlines above this quantile may be of callers that wait far longer than others. */
const HIGH_QUANTILE = 0.95;
/** The computed spread is widened by this factor, as the least of several estimates is too small. */
const SPREAD_MARGIN = 1.1;

/** The recent deadlines of one route. */
class RouteDeadlines {
    private readonly recent: number[] = [];
    private count = 0;
    /** Shortest deadline that first attempts are taken to have, in milliseconds. */
    private shortestMs: number | undefined;
    /** Difference between the longest and the shortest deadline of first attempts, in milliseconds. */
    private spread: { ms: number; at: number } | undefined;

    get shortest(): number | undefined {
        return this.shortestMs;
    }

    add(deadlineMs: number): void {
        this.recent[this.count % MAX_DEADLINES] = deadlineMs;
        this.count++;
        if (this.count < MIN_DEADLINES) {
            this.shortestMs = Math.min(this.shortestMs ?? deadlineMs, deadlineMs);
        }
        else if (this.count % RECOMPUTE_EVERY === 0) {
            this.updateShortest();
        }
    }

    /**
     * First attempts are the majority, so the upper half of the deadlines shows how far theirs lie from their median. Retries
     * only lower the median, so the least spread of late is the best estimate.
     */
    private updateShortest(): void {
        const sorted = [...this.recent].sort((left, right) => left - right);
        const highest = sorted[Math.floor(HIGH_QUANTILE * (sorted.length - 1))];
        const median = sorted[Math.floor(sorted.length / 2)];
        const spreadMs = (highest - median) / (HIGH_QUANTILE - 0.5);
        if (
            this.spread === undefined || spreadMs < this.spread.ms || this.count - this.spread.at > FORGET_SPREAD_AFTER
        ) {
            this.spread = { ms: spreadMs, at: this.count };
        }
        this.shortestMs = highest - HIGH_QUANTILE * this.spread.ms * SPREAD_MARGIN;
    }
}

/**
 * Estimates the time since a caller first sent its request. A caller that retries after a refusal asks for less time
 * than its first attempt. Callers of a route wait for different times: a deadline that a first attempt may have shows
 * nothing, and below those, the difference to the shortest is the request's age at least.
 */
export class RequestAgeEstimator {
    private readonly deadlines = new Map<string, RouteDeadlines>();

    /** Records a request's deadline and returns the request's estimated age, in milliseconds. */
    estimateAgeMs(route: string, deadlineMs: number): number {
        const known = this.deadlines.get(route) ?? new RouteDeadlines();
        this.deadlines.set(route, known);
        const ageMs = Math.max(0, (known.shortest ?? deadlineMs) - deadlineMs);
        known.add(deadlineMs);
        return ageMs;
    }
}
