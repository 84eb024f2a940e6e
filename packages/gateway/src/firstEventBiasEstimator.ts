/** Weight of a new sample in the moving average, which covers some tens of requests. */
const WEIGHT = 0.05;
/** Samples are capped at this, in milliseconds: a longer delay comes from a faulty group, not from the profile. */
const MAX_BIAS_MS = 500;
/** Estimate before the first sample, in milliseconds: some passes of a lightly loaded engine. */
const INITIAL_BIAS_MS = 100;

/** Estimates, for each model, how much later first events arrive than the profile predicts. */
export class FirstEventBiasEstimator {
    private readonly biasMs = new Map<string, number>();

    get(model: string): number {
        return this.biasMs.get(model) ?? INITIAL_BIAS_MS;
    }

    /** Records one first event. `predictedMs` is the prediction without bias. */
    record(model: string, predictedMs: number, actualMs: number): void {
        const sample = Math.min(MAX_BIAS_MS, Math.max(0, actualMs - predictedMs));
        this.biasMs.set(model, this.get(model) + WEIGHT * (sample - this.get(model)));
    }
}
