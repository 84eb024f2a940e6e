import { write, writeSync } from "node:fs";

export interface BoundedWriterOptions {
    /** File descriptor to write to. */
    descriptor: number;
    /** Maximum size of the lines waiting to be written; further lines are dropped and counted. */
    maxPendingBytes?: number;
    /** Maximum number of lines in a second; further lines are dropped and counted. */
    maxLinesPerSecond?: number;
}

export interface BoundedWriter {
    write(line: string): void;
    /** Writes the waiting lines synchronously, unless a write is in progress. Called before the process ends. */
    flush(): void;
}

const DEFAULT_MAX_PENDING_BYTES = 256 * 1024;
const DEFAULT_MAX_LINES_PER_SECOND = 400;
const FLUSH_MS = 100;
const SECOND_MS = 1000;

/** Creates a writer that never blocks on a slow reader: lines that exceed the limits are dropped and counted. */
export function createBoundedWriter(options: BoundedWriterOptions): BoundedWriter {
    const maxBytes = options.maxPendingBytes ?? DEFAULT_MAX_PENDING_BYTES;
    const maxLines = options.maxLinesPerSecond ?? DEFAULT_MAX_LINES_PER_SECOND;
    let pending: string[] = [];
    let pendingBytes = 0;
    let dropped = 0;
    let linesThisSecond = 0;
    let secondStartedAt = 0;
    let isWriting = false;
    let timer: NodeJS.Timeout | undefined;

    const takePendingText = () => {
        const lines = dropped > 0 ? [...pending, `event=log-lines-dropped count=${dropped}`] : pending;
        pending = [];
        pendingBytes = 0;
        dropped = 0;
        return lines.length === 0 ? "" : lines.join("\n") + "\n";
    };
    const writeAll = (data: Buffer) => {
        write(options.descriptor, data, (error, written) => {
            // A write error (closed pipe or slow reader) must not end the process; the lost text is not written again.
            const rest = error === null && written < data.length ? data.subarray(written) : undefined;
            if (rest !== undefined) {
                writeAll(rest);
                return;
            }
            isWriting = false;
            schedule();
        });
    };
    const schedule = () => {
        if (timer !== undefined || isWriting || (pending.length === 0 && dropped === 0)) {
            return;
        }
        timer = setTimeout(() => {
            timer = undefined;
            const text = takePendingText();
            isWriting = text !== "";
            if (isWriting) {
                writeAll(Buffer.from(text));
            }
        }, FLUSH_MS);
        timer.unref();
    };
    return {
        write: line => {
            const now = performance.now();
            if (now - secondStartedAt >= SECOND_MS) {
                secondStartedAt = now;
                linesThisSecond = 0;
            }
            linesThisSecond++;
            if (linesThisSecond > maxLines || pendingBytes + line.length > maxBytes) {
                dropped++;
            }
            else {
                pending.push(line);
                pendingBytes += line.length + 1;
            }
            schedule();
        },
        flush: () => {
            const text = takePendingText();
            if (text !== "" && !isWriting) {
                try {
                    writeSync(options.descriptor, text);
                }
                catch {
                    // The output is closed, so the error cannot be logged either.
                }
            }
        },
    };
}
