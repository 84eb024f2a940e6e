/** Length of an interval for returns, in milliseconds. */
export const INTERVAL_MS = 100;
/** Number of intervals ahead of the present one: longer than callers wait. */
const AHEAD = 300;
/** Number of past intervals whose returns are still expected: one second. */
const BEHIND = 10;
const SIZE = AHEAD + BEHIND + 1;
/** Part of a return's work that its gateway must have scheduled: callers return to any gateway. */
const MIN_COVERED = 0.5;

export interface ReturnRequest {
    workMs: number;
    /** Earliest return, in milliseconds from now. */
    earliestMs: number;
    /** Latest return that can still be served, in milliseconds from now. */
    latestMs: number;
    /** Work that returns may have in an interval that begins in `afterMs`. */
    predictRoomMs: (afterMs: number) => number;
    /** Random number in [0, 1) that spreads returns within an interval. */
    random: number;
}

/** Assigns refused requests the times at which there will be room for them. */
export class ReturnSchedule {
    /** Scheduled work by interval. */
    private readonly scheduled = new Float64Array(SIZE);
    private readonly counts = new Uint32Array(SIZE);
    private present = 0;

    /**
     * Finds the first interval with room for a request, and takes its room, from later intervals as well if the request
     * needs more than one has. Returns the time to return in milliseconds from now, or `undefined` if there is no room.
     */
    schedule(request: ReturnRequest, now: number): number | undefined {
        this.advance(now);
        const first = Math.max(this.present + 1, Math.floor((now + request.earliestMs) / INTERVAL_MS));
        const end = Math.min(this.present + AHEAD, Math.floor((now + request.latestMs) / INTERVAL_MS));
        let at = first;
        while (at < end && this.getFree(at, request, now) <= 0) {
            at++;
        }
        if (at >= end || !this.takeRoom(at, request, now)) {
            return undefined;
        }
        this.counts[at % SIZE]++;
        return Math.max(request.earliestMs, (at + request.random) * INTERVAL_MS - now);
    }

    /** Takes the room of a return that is due about now; `false` if this gateway has not scheduled as much. */
    takeReturn(workMs: number, now: number): boolean {
        this.advance(now);
        const due = Array.from({ length: BEHIND + 1 }, (_, at) => (this.present - BEHIND + at + SIZE) % SIZE);
        const dueMs = due.reduce((sum, at) => sum + this.scheduled[at], 0);
        if (dueMs === 0 || dueMs < workMs * MIN_COVERED) {
            return false;
        }
        let leftMs = workMs;
        for (const at of due) {
            const takenMs = Math.min(leftMs, this.scheduled[at]);
            this.scheduled[at] -= takenMs;
            leftMs -= takenMs;
        }
        return true;
    }

    /** Work that is scheduled to return within the next second. */
    getDueMs(now: number): number {
        this.advance(now);
        return Array.from({ length: BEHIND }, (_, at) => this.scheduled[(this.present + at) % SIZE])
            .reduce((sum, item) => sum + item, 0);
    }

    /** Number of requests that are scheduled to return later. */
    count(now: number): number {
        this.advance(now);
        return Array.from({ length: AHEAD }, (_, at) => this.counts[(this.present + 1 + at) % SIZE])
            .reduce((sum, item) => sum + item, 0);
    }

    private getFree(at: number, { predictRoomMs }: ReturnRequest, now: number): number {
        return predictRoomMs(at * INTERVAL_MS - now) - this.scheduled[at % SIZE];
    }

    private takeRoom(first: number, request: ReturnRequest, now: number): boolean {
        const taken: { at: number; takenMs: number }[] = [];
        let leftMs = request.workMs;
        for (let at = first; leftMs > 0 && at <= this.present + AHEAD; at++) {
            const takenMs = Math.min(leftMs, Math.max(0, this.getFree(at, request, now)));
            taken.push({ at, takenMs });
            leftMs -= takenMs;
        }
        if (leftMs > 0) {
            return false;
        }
        taken.forEach(({ at, takenMs }) => this.scheduled[at % SIZE] += takenMs);
        return true;
    }

    private advance(now: number): void {
        const present = Math.floor(now / INTERVAL_MS);
        for (let next = Math.max(this.present + 1, present - SIZE + 1); next <= present; next++) {
            this.scheduled[(next + AHEAD) % SIZE] = 0;
            this.counts[(next + AHEAD) % SIZE] = 0;
        }
        this.present = Math.max(this.present, present);
    }
}
