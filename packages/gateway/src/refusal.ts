import type { ServerResponse } from "node:http";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";

export interface Refusal {
    name: string;
    status: number;
    /** Time after which a retry may succeed, in milliseconds. */
    retryAfterMs?: number;
    /** What the caller should know beyond the name. */
    detail?: string;
}

/** Reasons for a refusal. Status 503 guarantees that the request has not run; after 502 and 504 it may have run. */
export const RefusalCause = {
    NoConfiguration: { name: "no-configuration", status: 503, retryAfterMs: 500 },
    /** A newer version has been confirmed for some time, and this gateway could not read it. */
    ConfigurationBehind: { name: "configuration-behind", status: 503, retryAfterMs: 500 },
    NoRoute: { name: "no-route", status: 404 },
    UnknownKey: { name: "unknown-key", status: 401 },
    /** The body did not arrive by the caller's deadline or the route's timeout; 408 guarantees that it has not run. */
    BodyLate: { name: "body-late", status: 408 },
    BodyTooLarge: { name: "body-too-large", status: 413 },
    /** The bodies of all requests hold as much memory as they may. */
    BodiesFull: { name: "bodies-full", status: 503, retryAfterMs: 1000 },
    /** Whole answers that callers have not read hold as much memory as they may. */
    AnswersFull: { name: "answers-full", status: 503, retryAfterMs: 1000 },
    NoEndpoint: { name: "no-endpoint", status: 503, retryAfterMs: 1000 },
    /** What the request is, or what it carries, has ended the endpoints that ran it. */
    Quarantined: { name: "fenced", status: 503 },
    /** The gateway has no time left for a request that may have run. */
    StopEnded: { name: "stop-ended", status: 502 },
    Stopping: { name: "stopping", status: 503, retryAfterMs: 50 },
    NoRoom: { name: "no-room", status: 503, retryAfterMs: 1000 },
    /** The endpoints limit their requests, and no permit comes in time. */
    OverLimit: { name: "over-limit", status: 503, retryAfterMs: 1000 },
    /** Each endpoint has rejected requests and asked to be sent nothing for a time. */
    EndpointsPaused: { name: "endpoints-paused", status: 503, retryAfterMs: 1000 },
    /** All endpoints that could serve the request are in evacuated data centres. */
    DataCentresEvacuated: { name: "data-centres-evacuated", status: 503, retryAfterMs: 2000 },
    /** No endpoint that could serve the request is in a region that its route and its account allow. */
    NoAllowedRegion: { name: "no-allowed-region", status: 503, retryAfterMs: 2000 },
    NotInTime: { name: "not-in-time", status: 503, retryAfterMs: 1000 },
    EndpointFailed: { name: "endpoint-failed", status: 502 },
    /** The caller does not read a response that has started. */
    CallerBehind: { name: "caller-behind", status: 502 },
    /** An error inside the gateway. */
    Internal: { name: "internal", status: 500 },
    Timeout: { name: "timeout", status: 504 },
} as const satisfies Record<string, Refusal>;

/** Sends a refusal, unless a response has started or the caller has disconnected. */
export function refuse(
    response: ServerResponse,
    codec: HttpHeaderCodec,
    requestId: string | undefined,
    refusal: Refusal,
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = refusal.detail === undefined ? `${refusal.name}\n` : `${refusal.name}: ${refusal.detail}\n`;
    response.writeHead(refusal.status, {
        "content-type": "text/plain",
        "content-length": String(Buffer.byteLength(body)),
        ...codec.encodeRefusal(requestId, refusal.retryAfterMs),
    });
    response.end(body);
}
