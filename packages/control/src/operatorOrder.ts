import { KumquathallError } from "@kumquathall/errors";

/** An order whose caller may not wait for it any more; the message says so and names the remedy. */
export class LateOrderError extends KumquathallError {}

/** An order that would undo a later one; the message says so and names the remedy. */
export class SupersededOrderError extends KumquathallError {}

/**
 * Time for which the caller of an order surely waits, in milliseconds: callers move on to another process after a second
 * without a response.
 */
export const MAX_ORDER_AGE_MS = 900;

export interface OperatorOrderOptions {
    /** Longest time for which the order may have waited at this process before it was read, in milliseconds. */
    waitedMs: number;
    /** Time since the caller's connection was accepted or last carried a response, in milliseconds: the order is no older. */
    idleMs: number;
    /** Revision of the configuration that this process had at that time. */
    idleRevision: number;
    /** Revision of the configuration that this process has now. */
    revision: number;
    /** Whether the caller's connection is open. */
    isOpen: () => boolean;
}

/**
 * What is known of the caller of an order. A caller that moves on has the order confirmed by another process, and may give
 * an opposite one; the first must have no effect after that, however long the network or a process has held it.
 */
export class OperatorOrder {
    /** Revision of the configuration at a time at which the caller had not sent the order yet, or waited for it. */
    readonly since: number;
    private readonly readAt = performance.now();

    constructor(private readonly options: OperatorOrderOptions) {
        // On a connection that has been idle, the order may have been sent at any time since.
        this.since = options.idleMs <= MAX_ORDER_AGE_MS ? options.revision : options.idleRevision;
    }

    /** Longest time for which the order may have waited at this process, in milliseconds. */
    getWaitMs(): number {
        return this.options.waitedMs + performance.now() - this.readAt;
    }

    /** Longest time since the order was sent, in milliseconds. */
    getLongestAgeMs(): number {
        return this.options.idleMs + performance.now() - this.readAt;
    }

    /** Time for which the order may still be sent to a leader, in milliseconds; 0 once its caller may have moved on. */
    getTimeLeftMs(): number {
        return this.options.isOpen() ? Math.max(0, MAX_ORDER_AGE_MS - this.getWaitMs()) : 0;
    }

    /** Whether the caller surely waits, so that the order comes after all that is committed now. */
    isAwaited(): boolean {
        return this.getLongestAgeMs() <= MAX_ORDER_AGE_MS && this.getTimeLeftMs() > 0;
    }

    /** Throws {@link LateOrderError} if the caller may have moved on. */
    check(): void {
        if (!this.options.isOpen()) {
            throw new LateOrderError("the order has no effect: its caller has closed the connection");
        }
        if (this.getTimeLeftMs() === 0) {
            const ageMs = Math.round(this.getWaitMs());
            throw new LateOrderError(
                `the order has no effect: it may have waited here for ${ageMs} ms, and callers move on after a second; `
                    + "send it again if it is still wanted",
            );
        }
    }
}
