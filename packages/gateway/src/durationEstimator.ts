/** Weight of one request in the means. */
const WEIGHT = 1 / 8;
/** Mean deviations above the mean that nearly all requests stay below. */
const DEVIATIONS = 4;

interface Duration {
    meanMs: number;
    deviationMs: number;
}

/** Estimates how long requests of a route take, from those that were served. */
export class DurationEstimator {
    private readonly durations = new Map<string, Duration>();

    record(route: string, durationMs: number): void {
        const known = this.durations.get(route);
        if (known === undefined) {
            this.durations.set(route, { meanMs: durationMs, deviationMs: durationMs / 2 });
            return;
        }
        known.deviationMs += WEIGHT * (Math.abs(durationMs - known.meanMs) - known.deviationMs);
        known.meanMs += WEIGHT * (durationMs - known.meanMs);
    }

    /** Time within which nearly all requests of a route are served, in milliseconds; `undefined` before the first. */
    estimateMs(route: string): number | undefined {
        const known = this.durations.get(route);
        return known === undefined ? undefined : known.meanMs + DEVIATIONS * known.deviationMs;
    }
}
