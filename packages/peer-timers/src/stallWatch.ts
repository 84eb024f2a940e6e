/** Interval between two ticks, in milliseconds. */
const TICK_MS = 50;
/** Time between two ticks from which this process counts as having stood still, in milliseconds. */
const STALL_MS = 200;
/** Longest time after a stall in which connections may be accepted, and input read, that waited during it, in milliseconds. */
const MAX_SETTLE_MS = 1000;

/**
 * Bounds how long input that is read now has waited at this process. A process that was frozen or very busy can't tell old
 * input from new: both are read in the same turn of the event loop.
 */
export class StallWatch {
    /** Sum of the times in which the clock below stood still while the wall clock advanced, in milliseconds. */
    private suspendedMs = 0;
    private offset = Date.now() - performance.now();
    private tickedAt = this.readClock();
    /** All that had arrived by then has been read. */
    private polledAt = this.tickedAt;
    private stall = { startedAt: Number.NEGATIVE_INFINITY, endedAt: Number.NEGATIVE_INFINITY };
    private readonly timer: NodeJS.Timeout;

    constructor() {
        this.timer = setInterval(() => this.recordTick(), TICK_MS);
        this.timer.unref();
    }

    /** Longest time that input which is read now may have waited, in milliseconds; some 50 ms while nothing is held up. */
    measureWaitMs(): number {
        const now = this.readClock();
        const { startedAt, endedAt } = this.stall;
        const settleMs = Math.min(MAX_SETTLE_MS, (endedAt - startedAt) / 2);
        const isSettling = now - endedAt < settleMs;
        return now - (isSettling ? Math.min(startedAt, this.polledAt) : this.polledAt);
    }

    close(): void {
        clearInterval(this.timer);
    }

    private recordTick(): void {
        const now = this.readClock();
        if (now - this.tickedAt >= STALL_MS) {
            this.stall = { startedAt: this.polledAt, endedAt: now };
        }
        this.tickedAt = now;
        // Immediates run after the sockets have been polled.
        setImmediate(() => {
            this.polledAt = now;
        });
    }

    /** Monotonic time in milliseconds that also counts suspensions of the VM. A wall clock that is set forward counts as one. */
    private readClock(): number {
        const steady = performance.now();
        const offset = Date.now() - steady;
        if (offset - this.offset >= STALL_MS) {
            this.suspendedMs += offset - this.offset;
        }
        this.offset = offset;
        return steady + this.suspendedMs;
    }
}
