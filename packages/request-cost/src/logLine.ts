import type { LogNormal } from "./logNormal.js";

/** Line over a logarithm with the variance of what lies around it; `centre` is the value where it is known best. */
export interface LogLine {
    intercept: number;
    slope: number;
    variance: number;
    centre: number;
}

/** Weight of an earlier sample relative to the next one: some fifty samples are remembered. */
const SAMPLE_DECAY = 0.98;
/** The weight of all samples halves in this time, in milliseconds, so that behaviour of another time of day fades. */
const HALF_LIFE_MS = 600_000;
/** Weight of the prior line, in samples: an account is known by its own requests after some ten of them. */
const PRIOR_WEIGHT = 6;
/** Bounds of the deviation: lengths are never known exactly, and a wider distribution has a mean far above all samples. */
const MIN_DEVIATION = 0.05;
const MAX_DEVIATION = 1.2;

/** Regression of one logarithm over another, from decaying samples and a prior line. */
export class LogLineFit {
    private weight = 0;
    private sumX = 0;
    private sumY = 0;
    private sumXX = 0;
    private sumXY = 0;
    private sumYY = 0;
    private updatedAt = 0;

    add(x: number, y: number, now: number): void {
        const kept = SAMPLE_DECAY * this.computeAgeFactor(now);
        this.weight = this.weight * kept + 1;
        this.sumX = this.sumX * kept + x;
        this.sumY = this.sumY * kept + y;
        this.sumXX = this.sumXX * kept + x * x;
        this.sumXY = this.sumXY * kept + x * y;
        this.sumYY = this.sumYY * kept + y * y;
        this.updatedAt = Math.max(this.updatedAt, now);
    }

    /** Fits the samples together with the prior, which counts as points beside its centre. */
    computeLine(prior: LogLine, now: number): LogLine {
        const factor = this.computeAgeFactor(now);
        const middle = prior.intercept + prior.slope * prior.centre;
        const weight = this.weight * factor + PRIOR_WEIGHT;
        const sumX = this.sumX * factor + PRIOR_WEIGHT * prior.centre;
        const sumY = this.sumY * factor + PRIOR_WEIGHT * middle;
        const sumXX = this.sumXX * factor + PRIOR_WEIGHT * (prior.centre ** 2 + 1);
        const sumXY = this.sumXY * factor + PRIOR_WEIGHT * (prior.centre * middle + prior.slope);
        const sumYY = this.sumYY * factor
            + PRIOR_WEIGHT * (middle ** 2 + prior.slope ** 2 + prior.variance);
        const meanX = sumX / weight;
        const meanY = sumY / weight;
        const varianceX = Math.max(Number.MIN_VALUE, sumXX / weight - meanX ** 2);
        const covariance = sumXY / weight - meanX * meanY;
        // A negative slope would reward a caller for hints that are too high.
        const slope = Math.min(1, Math.max(0, covariance / varianceX));
        const varianceY = sumYY / weight - meanY ** 2;
        const variance = varianceY - 2 * slope * covariance + slope ** 2 * varianceX;
        return { intercept: meanY - slope * meanX, slope, variance: Math.max(0, variance), centre: meanX };
    }

    private computeAgeFactor(now: number): number {
        return 0.5 ** (Math.max(0, now - this.updatedAt) / HALF_LIFE_MS);
    }
}

/** Distribution that a line gives at `x`. */
export function computeAt(line: LogLine, x: number): LogNormal {
    const logDeviation = Math.min(MAX_DEVIATION, Math.max(MIN_DEVIATION, Math.sqrt(line.variance)));
    return { logMean: line.intercept + line.slope * x, logDeviation };
}
