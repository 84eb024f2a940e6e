export interface PeerTimerOptions {
    /** Called when the peer has sent nothing in time. */
    onExpire: () => void;
    /** Whether the peer gets the time again in which this process stood still. Deadlines that others rely on don't. */
    allowsForStalls?: boolean;
}

/** Delay of a timer from which this process counts as having stood still, in milliseconds. */
const STALL_MS = 100;

/**
 * Limits the time for which a peer may be silent. The timers of a turn of the event loop run before its input is read, so
 * after a stall they would expire although what the peer has sent waits at the socket. This timer expires one poll later,
 * and after a stall later by its length, since the peer's network may have to send again as well.
 */
export class PeerTimer {
    private timer: NodeJS.Timeout | undefined;
    private immediate: NodeJS.Immediate | undefined;
    private limitMs = 0;
    private expiresAt = 0;
    private timerAt = 0;

    constructor(private readonly options: PeerTimerOptions) {}

    /** Starts, or starts anew because the peer has sent something. */
    start(limitMs: number): void {
        this.limitMs = limitMs;
        this.expiresAt = performance.now() + limitMs;
        clearImmediate(this.immediate);
        this.immediate = undefined;
        // A timer that comes too early starts another one; this is cheaper than a new timer for all input.
        if (this.timer === undefined || this.timerAt > this.expiresAt) {
            this.startTimer();
        }
    }

    stop(): void {
        clearTimeout(this.timer);
        clearImmediate(this.immediate);
        this.timer = undefined;
        this.immediate = undefined;
    }

    private startTimer(): void {
        clearTimeout(this.timer);
        this.timerAt = this.expiresAt;
        this.timer = setTimeout(() => this.handleTimeout(), Math.max(0, this.expiresAt - performance.now()));
    }

    private handleTimeout(): void {
        this.timer = undefined;
        const now = performance.now();
        const lateMs = now - this.timerAt;
        if (this.options.allowsForStalls !== false && lateMs >= STALL_MS) {
            this.expiresAt = Math.max(this.expiresAt, now + Math.min(lateMs, this.limitMs));
        }
        // Timers may run a fraction of a millisecond early.
        if (this.expiresAt - now >= 1) {
            this.startTimer();
            return;
        }
        this.immediate = setImmediate(() => {
            this.immediate = undefined;
            this.options.onExpire();
        });
    }
}
