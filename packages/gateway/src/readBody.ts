import { type ByteBudget, ByteCollector } from "@kumquathall/byte-collector";
import type { IncomingMessage } from "node:http";
import type { RequestScope } from "./requestScope.js";

export interface BodyLimits {
    maxBytes: number;
    /** Memory that the bodies of all requests may hold. */
    budget: ByteBudget;
    /** Time limit for the whole body, in milliseconds. */
    timeoutMs: number;
    /** Runs the callbacks of the request. */
    scope: RequestScope;
}

export type BodyOutcome =
    /** `release` is called once the request has ended and its body is no longer needed. */
    | { kind: "whole"; body: Buffer; release: () => void }
    | { kind: "tooLarge" }
    /** The bodies of all requests hold as much as they may. */
    | { kind: "noMemory" }
    /** The body did not arrive within the time limit. */
    | { kind: "late" };

/** Reads a whole body and calls `onOutcome` once, or never if the caller disconnects first. */
export function readBody(
    request: IncomingMessage,
    { maxBytes, budget, timeoutMs, scope }: BodyLimits,
    onOutcome: (outcome: BodyOutcome) => void,
): void {
    const collector = new ByteCollector({ maxBytes, budget });
    let isFinished = false;
    const settle = (outcome: BodyOutcome) => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(timer);
        if (outcome.kind !== "whole") {
            collector.close();
        }
        onOutcome(outcome);
    };
    const timer = setTimeout(scope.attach(() => settle({ kind: "late" })), timeoutMs);
    request.on(
        "data",
        scope.attach((chunk: Buffer) => {
            if (!isFinished && !collector.add(chunk)) {
                settle({ kind: collector.length + chunk.length > maxBytes ? "tooLarge" : "noMemory" });
            }
        }),
    );
    request.on(
        "end",
        scope.attach(() => settle({ kind: "whole", body: collector.join(), release: () => collector.close() })),
    );
    request.on("close", () => {
        clearTimeout(timer);
        if (!isFinished) {
            isFinished = true;
            collector.close();
        }
    });
}
