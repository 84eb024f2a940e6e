/** Weight of one outcome in the moving average: a few failures in a row raise the score clearly, one does not. */
const WEIGHT = 0.2;
/** The score halves in this time, in milliseconds, so that a recovered endpoint gets requests again. */
const HALF_LIFE_MS = 2000;

/** Recent failure rate of this gateway's requests at one endpoint, whatever state the endpoint reports. */
export class EndpointHealth {
    private score = 0;
    private updatedAt = 0;

    /** Records the outcome of an attempt. */
    record(hasFailed: boolean, now: number): void {
        const score = this.getFailureScore(now);
        this.score = score + WEIGHT * ((hasFailed ? 1 : 0) - score);
        this.updatedAt = now;
    }

    /** 0 for an endpoint without failures, close to 1 for one that fails every request. */
    getFailureScore(now: number): number {
        return this.score * 0.5 ** ((now - this.updatedAt) / HALF_LIFE_MS);
    }
}
