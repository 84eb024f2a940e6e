const BIN_MS = 200;
const BINS = 10;

/** Work offered during the last two seconds, with the error of its sum. */
export class WorkWindow {
    private readonly sums = new Float64Array(BINS);
    private readonly squares = new Float64Array(BINS);
    private newestBin = 0;

    add(work: number, now: number): void {
        this.advance(now);
        this.sums[this.newestBin % BINS] += work;
        this.squares[this.newestBin % BINS] += work * work;
    }

    /**
     * The work of the window, the standard deviation that the sum of as many independent arrivals of these sizes has, and
     * the time in which it was offered.
     */
    get(now: number): { work: number; deviation: number; coveredMs: number } {
        this.advance(now);
        const add = (total: number, item: number) => total + item;
        const coveredMs = (BINS - 1) * BIN_MS + now % BIN_MS;
        return { work: this.sums.reduce(add, 0), deviation: Math.sqrt(this.squares.reduce(add, 0)), coveredMs };
    }

    private advance(now: number): void {
        const bin = Math.floor(now / BIN_MS);
        for (let next = Math.max(this.newestBin + 1, bin - BINS + 1); next <= bin; next++) {
            this.sums[next % BINS] = 0;
            this.squares[next % BINS] = 0;
        }
        this.newestBin = Math.max(this.newestBin, bin);
    }
}

const MS_PER_SECOND = 1000;
/** Shortest time that an average covers after its start, in milliseconds: less would show single requests as a rate. */
const MIN_AVERAGE_MS = 1000;

/** Exponential moving average of a rate of work. */
export class RateAverage {
    private work = 0;
    private startedAt: number | undefined;
    private updatedAt = 0;

    constructor(private readonly spanMs: number) {}

    add(work: number, now: number): void {
        this.startedAt ??= now;
        this.work = this.work * this.computeDecay(now) + work;
        this.updatedAt = Math.max(this.updatedAt, now);
    }

    /** Work per second. */
    get(now: number): number {
        if (this.startedAt === undefined) {
            return 0;
        }
        const coveredMs = Math.max(MIN_AVERAGE_MS, now - this.startedAt);
        const weightMs = this.spanMs * (1 - Math.exp(-coveredMs / this.spanMs));
        return this.work * this.computeDecay(now) / weightMs * MS_PER_SECOND;
    }

    private computeDecay(now: number): number {
        return Math.exp(-Math.max(0, now - this.updatedAt) / this.spanMs);
    }
}
