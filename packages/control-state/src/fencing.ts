import type { FencingNumber } from "@kumquathall/types";

/** Orders fencing numbers: negative when `left` is older. */
export function compareFencing(left: FencingNumber, right: FencingNumber): number {
    return left.term - right.term || left.index - right.index;
}

/** Whether two fencing numbers are the same. */
export function isSameFencing(left: FencingNumber | undefined, right: FencingNumber | undefined): boolean {
    return left !== undefined && right !== undefined && left.term === right.term && left.index === right.index;
}

/** Formats a fencing number as `term.index`, the form that engines accept. */
export function formatFencing(fencing: FencingNumber): string {
    return `${fencing.term}.${fencing.index}`;
}
