/** A longer pause between facts means that control could not be reached, in milliseconds: five heartbeats. */
const MAX_PAUSE_MS = 6000;

/** Measures for how long facts have arrived without a pause: only then does silence about an endpoint mean something. */
export class FactFlow {
    private since: number | undefined;
    private newestAt = 0;

    /** Records that facts have arrived. */
    record(now: number): void {
        if (this.since === undefined || now - this.newestAt > MAX_PAUSE_MS) {
            this.since = now;
        }
        this.newestAt = now;
    }

    /** Time before which an endpoint must have been seen last to be silent for `silentMs`; `undefined` if none can be. */
    findSilentBefore(silentMs: number): number | undefined {
        return this.since === undefined || this.newestAt - this.since < silentMs
            ? undefined
            : this.newestAt - silentMs;
    }
}
