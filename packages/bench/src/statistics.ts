/** Median of some values; NaN for none. */
export function computeMedian(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = Math.floor(sorted.length / 2);
    return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
}

/** Value below which a share of the values lies. */
export function computePercentile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

/** Least-squares line through measured points. */
export interface LinearFit {
    intercept: number;
    slope: number;
    /** Largest distance of a point from the line, relative to the largest value. */
    residual: number;
}

/** Fits a line to points of x and y. */
export function computeFit(points: readonly { x: number; y: number }[]): LinearFit {
    const count = points.length;
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const largest = Math.max(...points.map(point => Math.abs(point.y)), Number.MIN_VALUE);
    const residual = Math.max(...points.map(point => Math.abs(point.y - intercept - slope * point.x))) / largest;
    return { intercept, slope, residual };
}
