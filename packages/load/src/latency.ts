import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";

/** Number of recorded durations, their percentiles and the maximum in milliseconds. */
export interface LatencySummary {
    count: number;
    p50: number;
    p95: number;
    p99: number;
    max: number;
}

const MICROSECONDS_PER_MS = 1000;

/** Records durations in an HDR histogram of microseconds with three significant digits. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
    });

    record(durationMs: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)));
    }

    /** Encodes the histogram as text, to be merged by {@link addEncoded}. */
    encode(): string {
        return encodeIntoCompressedBase64(this.histogram);
    }

    /** Adds the encoded histogram of another recorder. */
    addEncoded(text: string): void {
        this.histogram.add(decodeFromCompressedBase64(text, 64, false));
    }

    describe(): LatencySummary {
        const read = (percentile: number) =>
            this.histogram.totalCount === 0 ? 0 : this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
        return { count: this.histogram.totalCount, p50: read(50), p95: read(95), p99: read(99), max: read(100) };
    }
}
