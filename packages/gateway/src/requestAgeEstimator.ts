/**
 * Estimates the time since a caller first sent its request. A caller that retries after a refusal asks for less time
 * than the first attempts on the same route; the difference to the route's longest deadline is the request's age.
 */
export class RequestAgeEstimator {
    private readonly longestMsByRoute = new Map<string, number>();

    /** Records a request's deadline and returns the request's estimated age, in milliseconds. */
    estimateAgeMs(route: string, deadlineMs: number): number {
        const longestMs = Math.max(this.longestMsByRoute.get(route) ?? 0, deadlineMs);
        this.longestMsByRoute.set(route, longestMs);
        return longestMs - deadlineMs;
    }
}
