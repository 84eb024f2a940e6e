import { ProblemCode, RefusalError } from "@kumquathall/errors";
import type { IncomingMessage } from "node:http";

/** Reads a request body. Rejects with a {@link RefusalError} if it exceeds the size limit or the timeout. */
export function readRequestBody(request: IncomingMessage, maxBytes: number, timeoutMs: number): Promise<Buffer> {
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > maxBytes) {
        return Promise.reject(buildTooLargeError(maxBytes));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        const timer = setTimeout(
            () =>
                reject(
                    new RefusalError(
                        ProblemCode.RequestTimeout,
                        `the request body was not complete within ${timeoutMs} ms`,
                    ),
                ),
            timeoutMs,
        );
        request.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxBytes) {
                clearTimeout(timer);
                request.pause();
                reject(buildTooLargeError(maxBytes));
                return;
            }
            chunks.push(chunk);
        });
        request.on("end", () => {
            clearTimeout(timer);
            resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
        });
        request.on("error", () => {
            clearTimeout(timer);
            reject(
                new RefusalError(
                    ProblemCode.Cancelled,
                    "the caller disconnected before the request was complete",
                ),
            );
        });
    });
}

function buildTooLargeError(maxBytes: number): RefusalError {
    return new RefusalError(ProblemCode.BodyTooLarge, `the body exceeds ${maxBytes} bytes`);
}
