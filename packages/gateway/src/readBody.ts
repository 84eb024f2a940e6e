import type { IncomingMessage } from "node:http";

export interface BodyLimits {
    maxBytes: number;
    /** Time limit for the whole body, in milliseconds. */
    timeoutMs: number;
}

export type BodyOutcome =
    | { kind: "whole"; body: Buffer }
    | { kind: "tooLarge" }
    /** The body did not arrive within the time limit. */
    | { kind: "late" };

/** Reads a whole body and calls `onOutcome` once, or never if the caller disconnects first. */
export function readBody(
    request: IncomingMessage,
    limits: BodyLimits,
    onOutcome: (outcome: BodyOutcome) => void,
): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isFinished = false;
    const settle = (outcome: BodyOutcome) => {
        if (!isFinished) {
            isFinished = true;
            clearTimeout(timer);
            onOutcome(outcome);
        }
    };
    const timer = setTimeout(() => settle({ kind: "late" }), limits.timeoutMs);
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > limits.maxBytes) {
            settle({ kind: "tooLarge" });
        }
        else if (!isFinished) {
            chunks.push(chunk);
        }
    });
    request.on("end", () => settle({ kind: "whole", body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) }));
    request.on("close", () => clearTimeout(timer));
}
