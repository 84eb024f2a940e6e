/** Log-normal distribution of a positive quantity: its logarithm has this mean and standard deviation. */
export interface LogNormal {
    logMean: number;
    logDeviation: number;
}

/** Standard deviations below the mean at which the approximation of the normal distribution is replaced by its tail. */
const TAIL_DEVIATIONS = 3;

/** Computes the mean of the distribution, cut to `max`. */
export function computeMean({ logMean, logDeviation }: LogNormal, max = Number.POSITIVE_INFINITY): number {
    return Math.min(max, Math.exp(logMean + logDeviation * logDeviation / 2));
}

/** Computes the expected rest of a quantity of which `done` has been seen and which is `max` at most. */
export function computeRemaining(
    distribution: LogNormal,
    done: number,
    max = Number.POSITIVE_INFINITY,
): number {
    const { logMean, logDeviation } = distribution;
    const left = Math.max(0, max - done);
    if (done <= 0) {
        return Math.min(left, computeMean(distribution));
    }
    const z = (logMean - Math.log(done)) / logDeviation;
    if (z < -TAIL_DEVIATIONS) {
        // Far above the median, the expected rest is the inverse of the hazard rate.
        return Math.min(left, done * logDeviation / -z);
    }
    const above = computeMean(distribution) * computeNormalFraction(z + logDeviation) / computeNormalFraction(z);
    return Math.min(left, Math.max(0, above - done));
}

/** Fraction of a standard normal distribution below `z` (Abramowitz and Stegun, 26.2.17; error below 1e-7). */
function computeNormalFraction(z: number): number {
    const t = 1 / (1 + 0.2316419 * Math.abs(z));
    const series = t
        * (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
    const tail = Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI) * series;
    return z > 0 ? 1 - tail : tail;
}
