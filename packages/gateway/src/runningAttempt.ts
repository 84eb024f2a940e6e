import type { EndpointLimits } from "./endpointLimits.js";
import type { Attempt } from "./endpointPool.js";
import type { EndpointTracker, SentRequest, TrackedEndpoint } from "./endpointTracker.js";
import type { EventStreamParser } from "./eventStreamParser.js";
import type { HeldAnswer } from "./heldAnswer.js";
import type { ResponseHead } from "./httpHeaderCodec.js";

/** One attempt in flight. */
export interface RunningAttempt {
    endpoint: TrackedEndpoint;
    sent: SentRequest;
    handle: Attempt;
    parser: EventStreamParser;
    /** Whether it goes on with a stream of which the caller has the first events. */
    isContinuation: boolean;
    responseHead: ResponseHead | undefined;
    status: number;
    headers: Record<string, string | string[] | undefined>;
    answer: HeldAnswer;
    /** Monotonic time at which the endpoint last sent something, or the request was sent, in milliseconds. */
    lastDataAt: number;
    /** Report of a loss that the attempt has outlived so far. */
    loss: { reason: string; isEndpointLost: boolean } | undefined;
}

/** Status of an endpoint that another incarnation has replaced. */
export const STATUS_MISDIRECTED = 421;

/** Reads the media type of a response, without its parameters. */
export function readMediaType(headers: RunningAttempt["headers"]): string | undefined {
    const type = headers["content-type"];
    return typeof type === "string" ? type.split(";")[0].trim().toLowerCase() : undefined;
}

/** Whether a response says where it ends; otherwise it ends with its connection. */
export function hasFraming(headers: RunningAttempt["headers"]): boolean {
    return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

/** Records the load that an endpoint names in a response. Engines report theirs, with their memory, in their facts. */
export function recordLoad(endpoint: TrackedEndpoint, load: { running: number; waiting: number }): void {
    const now = performance.now();
    endpoint.reportedLoad = { ...load, at: now };
    if (endpoint.view.engine === undefined) {
        const { running, waiting } = load;
        const incarnation = endpoint.view.bornMs;
        endpoint.work.recordReport({ incarnation, receivedAt: now, lagMs: 0, running, waiting, kvUsedTokens: 0 });
    }
}

/** Records what a valid response says of its endpoint. Another incarnation may have answered with status 421. */
export function recordNotices(
    { endpoint, sent, status }: RunningAttempt,
    responseHead: ResponseHead,
    { limits, tracker }: { limits: EndpointLimits; tracker: EndpointTracker },
): void {
    const now = performance.now();
    if (responseHead.isSigned || responseHead.limit !== undefined) {
        limits.recordResponse({ endpoint: endpoint.key, sentAt: sent.sentAt, limit: responseHead.limit }, now);
    }
    if (responseHead.coldMs !== undefined && status !== STATUS_MISDIRECTED) {
        limits.recordCold(endpoint.key, responseHead.coldMs, now);
    }
    if (responseHead.pauseMs !== undefined) {
        tracker.recordPause(endpoint, responseHead.pauseMs, now);
    }
    else if (!responseHead.isNotRun) {
        const { load } = responseHead;
        endpoint.pause.recordAnswer(sent.sentAt, load !== undefined && load.running + load.waiting < load.slots);
    }
    if (responseHead.isLeaving && status !== STATUS_MISDIRECTED) {
        tracker.recordLeaving(endpoint, now);
    }
}
