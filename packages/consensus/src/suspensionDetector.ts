/** Least difference that counts, in milliseconds: below the margin between the lease and the election timeout. */
const MIN_SUSPENSION_MS = 50;

/** Bounds of how far the wall clock is ahead of the monotonic clock, in milliseconds. */
interface ClockOffset {
    minMs: number;
    maxMs: number;
}

/**
 * Detects that the VM may have been suspended: meanwhile the wall clock advances and the monotonic clock, by which
 * leases are measured, does not. A wall clock that is set forward looks the same.
 */
export class SuspensionDetector {
    private offset = readOffset();

    /** Whether the VM may have been suspended since the last call. */
    hasBeenSuspended(): boolean {
        const offset = readOffset();
        const advancedMs = offset.minMs - this.offset.maxMs;
        this.offset = offset;
        return advancedMs >= MIN_SUSPENSION_MS;
    }
}

/** Reads the monotonic clock on both sides of the wall clock, since the process may be interrupted in between. */
function readOffset(): ClockOffset {
    const before = performance.now();
    const wallClock = Date.now();
    return { minMs: wallClock - performance.now(), maxMs: wallClock - before };
}
