import type { Logger } from "./logger.js";

/** Input of another writer that was refused or dropped. */
export interface InputFault {
    /** What was received, for example `heartbeat`. One of few values. */
    kind: string;
    /** The field and what is wrong with it. One of few values: it does not hold the input itself. */
    reason: string;
    /** Id or address of the writer, as far as it is known. */
    writer: string;
    /** Error that the input has caused. */
    message?: string;
}

export interface InputFaultLogOptions {
    logger: Logger;
    /** Called for each fault. */
    onFault?: (fault: InputFault) => void;
    /** Interval between two lines about the same kind, reason and writer, in milliseconds. */
    intervalMs?: number;
    /** Number of kinds, reasons and writers that are told apart; the others of a kind and reason share one line. */
    maxKeys?: number;
}

const DEFAULT_INTERVAL_MS = 10_000;
const DEFAULT_MAX_KEYS = 256;
/** Number of characters of a writer's name or an error that are logged. */
const MAX_TEXT_LENGTH = 120;
const OTHER_WRITERS = "others";

/** Logs the first fault of each kind, reason and writer, and then their number at an interval. */
export class InputFaultLog {
    private readonly lines = new Map<string, { loggedAt: number; unlogged: number }>();

    constructor(private readonly options: InputFaultLogOptions) {}

    /** Counts a fault and logs it if a line is due. `now` is a monotonic time in milliseconds. */
    record(fault: InputFault, now: number = performance.now()): void {
        this.options.onFault?.(fault);
        const { intervalMs = DEFAULT_INTERVAL_MS } = this.options;
        const writer = fault.writer.slice(0, MAX_TEXT_LENGTH);
        const line = this.getOrCreateLine(fault, writer, now);
        line.state.unlogged++;
        if (now - line.state.loggedAt < intervalMs) {
            return;
        }
        this.options.logger.warn("input-refused", {
            kind: fault.kind,
            reason: fault.reason,
            writer: line.writer,
            count: line.state.unlogged,
            message: fault.message?.slice(0, MAX_TEXT_LENGTH),
        });
        line.state.loggedAt = now;
        line.state.unlogged = 0;
    }

    private getOrCreateLine(fault: InputFault, writer: string, now: number) {
        const { maxKeys = DEFAULT_MAX_KEYS } = this.options;
        const key = JSON.stringify([fault.kind, fault.reason, writer]);
        const known = this.lines.get(key);
        if (known !== undefined) {
            return { writer, state: known };
        }
        if (this.lines.size >= maxKeys) {
            this.removeQuiet(now);
        }
        const isShared = this.lines.size >= maxKeys;
        const sharedKey = isShared ? JSON.stringify([fault.kind, fault.reason]) : key;
        const state = this.lines.get(sharedKey) ?? { loggedAt: Number.NEGATIVE_INFINITY, unlogged: 0 };
        this.lines.set(sharedKey, state);
        return { writer: isShared ? OTHER_WRITERS : writer, state };
    }

    /** Removes the lines whose interval has passed; their next fault counts as a first one. */
    private removeQuiet(now: number): void {
        const { intervalMs = DEFAULT_INTERVAL_MS } = this.options;
        for (const [key, { loggedAt }] of this.lines) {
            if (now - loggedAt >= intervalMs) {
                this.lines.delete(key);
            }
        }
    }
}
