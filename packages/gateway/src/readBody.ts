import type { IncomingMessage } from "node:http";

export interface BodyLimits {
    maxBytes: number;
    /** Time in which the whole body must arrive, in milliseconds. */
    withinMs: number;
}

export type BodyOutcome =
    | { kind: "whole"; body: Buffer }
    | { kind: "tooLarge" }
    /** The caller has stopped sending, or sends too slowly. */
    | { kind: "late" };

/** Reads a whole body and hands over what became of it, once. Nothing is handed over if the caller leaves. */
export function readBody(
    request: IncomingMessage,
    limits: BodyLimits,
    onOutcome: (outcome: BodyOutcome) => void,
): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isOver = false;
    const end = (outcome: BodyOutcome) => {
        if (!isOver) {
            isOver = true;
            clearTimeout(timer);
            onOutcome(outcome);
        }
    };
    const timer = setTimeout(() => end({ kind: "late" }), limits.withinMs);
    request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > limits.maxBytes) {
            end({ kind: "tooLarge" });
        }
        else if (!isOver) {
            chunks.push(chunk);
        }
    });
    request.on("end", () => end({ kind: "whole", body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) }));
    request.on("close", () => clearTimeout(timer));
}
