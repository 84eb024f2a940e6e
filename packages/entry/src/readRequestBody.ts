import { ProblemCode, RefusalError } from "@kumquathall/errors";
import type { IncomingMessage } from "node:http";

/** Reads a caller's body within bounds of size and time. Throws a {@link RefusalError} that says which was passed. */
export function readRequestBody(request: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<Buffer> {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > maxBytes) {
        return Promise.reject(buildTooLargeError(maxBytes));
    }
    return new Promise((resolve, reject) => {
        const parts: Buffer[] = [];
        let bytes = 0;
        const timer = setTimeout(
            () =>
                reject(
                    new RefusalError(
                        ProblemCode.RequestTimeout,
                        `the whole request did not arrive within ${timeoutMs} ms`,
                    ),
                ),
            timeoutMs,
        );
        request.on("data", (part: Buffer) => {
            bytes += part.length;
            if (bytes > maxBytes) {
                clearTimeout(timer);
                request.pause();
                reject(buildTooLargeError(maxBytes));
                return;
            }
            parts.push(part);
        });
        request.on("end", () => {
            clearTimeout(timer);
            resolve(parts.length === 1 ? parts[0] : Buffer.concat(parts));
        });
        request.on("error", () => {
            clearTimeout(timer);
            reject(
                new RefusalError(
                    ProblemCode.Cancelled,
                    "the caller closed the connection before the request was whole",
                ),
            );
        });
    });
}

function buildTooLargeError(maxBytes: number): RefusalError {
    return new RefusalError(ProblemCode.BodyTooLarge, `the body exceeds ${maxBytes} bytes`);
}
