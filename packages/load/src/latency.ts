import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram } from "hdr-histogram-js";

/** Percentiles in milliseconds. */
export interface LatencySummary {
    count: number;
    p50: number;
    p95: number;
    p99: number;
    max: number;
}

const MICROSECONDS = 1000;

/** Collects durations with a precision of three digits. */
export class LatencyRecorder {
    private readonly histogram: Histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 3_600_000_000,
        numberOfSignificantValueDigits: 3,
    });

    record(durationMs: number): void {
        this.histogram.recordValue(Math.max(1, Math.round(durationMs * MICROSECONDS)));
    }

    /** The whole histogram as text, for another process. */
    encode(): string {
        return encodeIntoCompressedBase64(this.histogram);
    }

    /** Adds what another recorder has collected. */
    addEncoded(text: string): void {
        this.histogram.add(decodeFromCompressedBase64(text, 64, false));
    }

    describe(): LatencySummary {
        const read = (percentile: number) =>
            this.histogram.totalCount === 0 ? 0 : this.histogram.getValueAtPercentile(percentile) / MICROSECONDS;
        return { count: this.histogram.totalCount, p50: read(50), p95: read(95), p99: read(99), max: read(100) };
    }
}
