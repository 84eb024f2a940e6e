import { MAX_ORDER_AGE_MS, OperatorOrder } from "./operatorOrder.js";

export interface CallerActivityOptions {
    /** Longest time that input which is read now may have waited at this process, in milliseconds. */
    measureWaitMs: () => number;
    /** Revision of the newest configuration that this process has, committed for good. */
    getRevision: () => number;
}

interface Use {
    /** Monotonic time, in milliseconds. */
    at: number;
    revision: number;
}

/** Remembers when each caller's connection was last known to carry nothing, to bound the age of the orders that it brings. */
export class CallerActivity {
    private readonly uses = new WeakMap<object, Use>();

    constructor(private readonly options: CallerActivityOptions) {}

    /** Records that a connection was accepted. It may have waited for that, with orders on it. */
    recordOpen(connection: object): void {
        const waitedMs = this.options.measureWaitMs();
        this.uses.set(connection, {
            at: performance.now() - waitedMs,
            revision: waitedMs <= MAX_ORDER_AGE_MS ? this.options.getRevision() : 0,
        });
    }

    /** Records that a response was written to a connection; its caller sends nothing more before it has that. */
    recordResponse(connection: object): void {
        this.uses.set(connection, { at: performance.now(), revision: this.options.getRevision() });
    }

    /** Describes the caller of an order that has just been read. `isOpen` tells whether its connection is open. */
    buildOrder(connection: object, isOpen: () => boolean): OperatorOrder {
        const used = this.uses.get(connection) ?? { at: Number.NEGATIVE_INFINITY, revision: 0 };
        return new OperatorOrder({
            waitedMs: this.options.measureWaitMs(),
            idleMs: performance.now() - used.at,
            idleRevision: used.revision,
            revision: this.options.getRevision(),
            isOpen,
        });
    }
}
