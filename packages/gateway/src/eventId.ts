import type { ByteBudget } from "@kumquathall/byte-collector";
import { MAX_HEADER_BYTES } from "./httpHeaderCodec.js";

/** Digits of an id that are logged at each end. */
const LOGGED_DIGITS = 16;
const ID_PATTERN = /^\d+$/;
const LEADING_ZEROS = /^0+(?=\d)/;

/**
 * Parses the id of an event: decimal digits, which are kept as their sender wrote them, since numbers are not exact
 * beyond 2^53. Returns `undefined` for anything else, and for more digits than a header can pass on.
 */
export function parseEventId(text: string): string | undefined {
    return text.length <= MAX_HEADER_BYTES && ID_PATTERN.test(text) ? text : undefined;
}

/** Compares two event ids by their numeric values: below 0 if `left` is lower, 0 if they are equal, above 0 otherwise. */
export function compareEventIds(left: string, right: string): number {
    const a = left.replace(LEADING_ZEROS, "");
    const b = right.replace(LEADING_ZEROS, "");
    if (a.length !== b.length) {
        return a.length - b.length;
    }
    if (a === b) {
        return 0;
    }
    return a < b ? -1 : 1;
}

/** Describes an event id in a log line; of a long one, its ends and its length. */
export function describeEventId(id: string | undefined): string {
    if (id === undefined) {
        return "none";
    }
    return id.length <= 2 * LOGGED_DIGITS
        ? id
        : `${id.slice(0, LOGGED_DIGITS)}...${id.slice(-LOGGED_DIGITS)} (${id.length} digits)`;
}

/** Id of the last event of a stream that its caller has. */
export class LastEventId {
    private held = 0;
    private isClosed = false;

    /** The bytes of `initial` belong to the caller's headers; those of later ids are taken out of `budget`. */
    constructor(private value: string | undefined, private readonly budget: ByteBudget) {}

    get(): string | undefined {
        return this.value;
    }

    /** Whether an event with this id comes after the last one. */
    isBefore(id: string): boolean {
        return this.value === undefined || compareEventIds(this.value, id) < 0;
    }

    /** Replaces the id; returns `false`, and keeps the former one, if the budget does not hold the new one. */
    replace(id: string): boolean {
        if (this.isClosed || !this.budget.take(id.length)) {
            return false;
        }
        this.budget.release(this.held);
        this.held = id.length;
        this.value = id;
        return true;
    }

    /** Returns what was taken out of the budget. */
    close(): void {
        this.isClosed = true;
        this.budget.release(this.held);
        this.held = 0;
    }
}
