/** Requests that have no response yet, as their monotonic send times in milliseconds. */
export type UnansweredSends = Iterable<{ sentAt: number; headAt: number | undefined }>;

/** Longest pause that is obeyed, in milliseconds: an endpoint with an absurd value is tried again after it. */
const MAX_PAUSE_MS = 3_600_000;
/** Part of the requests under way at a rejection that are sent at once after the pause. */
const ROOM_FRACTION = 0.75;
/** The limit of requests under way grows by this factor for each period without a rejection. */
const GROWTH_FACTOR = 1.5;
/** Length of that period as a multiple of the pause, with its bounds in milliseconds. */
const PERIOD_FACTOR = 4;
const MIN_PERIOD_MS = 1000;
const MAX_PERIOD_MS = 60_000;
/** An endpoint with a limit of this many requests of one gateway is no longer restricted. */
const UNRESTRICTED = 64;

/**
 * The time for which one endpoint has asked this gateway to send nothing, and how many requests it is sent at once after
 * it: a single one, then more with each answer, up to fewer than were under way when it rejected one.
 */
export class EndpointPause {
    private until = Number.NEGATIVE_INFINITY;
    private periodMs = MIN_PERIOD_MS;
    /** Limit of the requests under way after the pause; it grows with time. `undefined` before the first pause. */
    private limit: number | undefined;
    /** Number of requests sent after the pause that the endpoint has answered. */
    private answers = 0;

    /**
     * Records that the endpoint has rejected a request and asked for a pause, while `unanswered` other requests of this
     * gateway were under way. A shorter pause does not end a longer one.
     */
    record(pauseMs: number, unanswered: number, now: number): void {
        if (pauseMs <= 0) {
            return;
        }
        if (!this.isPaused(now)) {
            this.limit = Math.max(1, (unanswered + 1) * ROOM_FRACTION);
            this.answers = 0;
            this.periodMs = Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, pauseMs * PERIOD_FACTOR));
        }
        this.until = Math.max(this.until, now + Math.min(MAX_PAUSE_MS, pauseMs));
    }

    /** Records an answer to a request that was sent at `sentAt`; `hasRoom` if the endpoint reports free slots in it. */
    recordAnswer(sentAt: number, hasRoom = false): void {
        if (this.limit === undefined || sentAt < this.until) {
            return;
        }
        this.answers++;
        this.limit += hasRoom ? 1 : 0;
    }

    /** Whether the endpoint has asked to be sent nothing now. */
    isPaused(now: number): boolean {
        return now < this.until;
    }

    /** Whether a request may be sent besides those under way. */
    canSend(underWay: UnansweredSends, now: number): boolean {
        if (this.limit === undefined) {
            return true;
        }
        return !this.isPaused(now) && this.countSinceEnd(underWay) < this.getRoom(this.limit, now);
    }

    /** Time until the end of the pause, in milliseconds; 0 if it has ended. */
    getRemainingMs(now: number): number {
        return Math.max(0, this.until - now);
    }

    private getRoom(limit: number, now: number): number {
        const periods = Math.floor((now - this.until) / this.periodMs);
        const grown = Math.floor(limit * GROWTH_FACTOR ** periods);
        return grown >= UNRESTRICTED ? Number.POSITIVE_INFINITY : Math.min(grown, 1 + this.answers);
    }

    private countSinceEnd(underWay: UnansweredSends): number {
        let count = 0;
        for (const { sentAt, headAt } of underWay) {
            count += headAt === undefined && sentAt >= this.until ? 1 : 0;
        }
        return count;
    }
}
