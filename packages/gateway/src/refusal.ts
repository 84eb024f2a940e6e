import type { ServerResponse } from "node:http";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";

export interface Refusal {
    name: string;
    status: number;
    /** When a new attempt may succeed, in milliseconds. */
    retryAfterMs?: number;
}

/** Why the gateway itself answers. 503 promises that the request has not run; 502 and 504 promise nothing. */
export const RefusalCause = {
    NoConfiguration: { name: "no-configuration", status: 503, retryAfterMs: 500 },
    NoRoute: { name: "no-route", status: 404 },
    UnknownKey: { name: "unknown-key", status: 401 },
    /** Its body did not arrive within the time that the caller or the route gives it; 408 promises that it has not run. */
    BodyLate: { name: "body-late", status: 408 },
    BodyTooLarge: { name: "body-too-large", status: 413 },
    NoEndpoint: { name: "no-endpoint", status: 503, retryAfterMs: 1000 },
    Fenced: { name: "fenced", status: 503 },
    Stopping: { name: "stopping", status: 503, retryAfterMs: 50 },
    NoRoom: { name: "no-room", status: 503, retryAfterMs: 1000 },
    NotInTime: { name: "not-in-time", status: 503, retryAfterMs: 1000 },
    EndpointFailed: { name: "endpoint-failed", status: 502 },
    Timeout: { name: "timeout", status: 504 },
} as const satisfies Record<string, Refusal>;

/** Answers a caller on the gateway's own behalf. */
export function refuse(
    response: ServerResponse,
    dialect: HttpHeaderCodec,
    requestId: string | undefined,
    refusal: Refusal,
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = `${refusal.name}\n`;
    response.writeHead(refusal.status, {
        "content-type": "text/plain",
        "content-length": String(Buffer.byteLength(body)),
        ...dialect.encodeRefusal(requestId, refusal.retryAfterMs),
    });
    response.end(body);
}
