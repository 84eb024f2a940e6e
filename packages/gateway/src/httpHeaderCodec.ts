import type { HeaderField, NamedLimit } from "@kumquathall/types";

/** Largest headers of a request that callers may send, in bytes. */
export const MAX_HEADER_BYTES = 64 * 1024;

/** Metadata decoded from the headers of a caller's request. */
export interface RequestHead {
    requestId: string | undefined;
    /** Time that the caller allows for the response, in milliseconds. */
    deadlineMs: number | undefined;
    /** Key of the caller's client account. */
    key: string | undefined;
    model: string | undefined;
    promptTokens: number | undefined;
    /** Ids of the parts of the prompt that requests share, in order; without the last part, which is the request's own. */
    promptParts: string[];
    maxAnswerTokens: number | undefined;
    /** The caller's estimate of the response's length. */
    answerTokensHint: number | undefined;
    /** Last event that the caller received of a stream that it resumes: decimal digits, as the caller wrote them. */
    lastEventId: string | undefined;
}

/** Values of the headers that the gateway sets in a request to an endpoint. */
export interface ForwardHeaderValues {
    remainingMs: number;
    endpointId: string;
    account: string | undefined;
    /** 0 is served first; with `undefined` the endpoint decides. */
    priority: number | undefined;
    /** The endpoint continues the stream after this event; with `undefined` the caller's header is forwarded unchanged. */
    lastEventId: string | undefined;
}

/** Metadata decoded from the headers of an endpoint's response. */
export interface ResponseHead {
    requestId: string | undefined;
    /** The endpoint guarantees that it has not run the request. */
    isNotRun: boolean;
    /** The response has the endpoint's signature. */
    isSigned: boolean;
    /** The response has a content encoding. */
    isEncoded: boolean;
    /** Numbers of running and waiting requests and of slots, if the endpoint reports them. */
    load: { running: number; waiting: number; slots: number } | undefined;
    /** Requests a second that the endpoint accepts from all gateways together, if the response names a limit. */
    limit: NamedLimit | undefined;
    /** Time for which the endpoint stays cold, in milliseconds, if the response says so. */
    coldMs: number | undefined;
    /** The endpoint's incarnation is leaving. */
    isLeaving: boolean;
    /** Time for which the endpoint wants nothing from this gateway, in milliseconds. */
    pauseMs: number | undefined;
}

/** Decodes and encodes the headers of HTTP messages between callers, gateway and endpoints. */
export abstract class HttpHeaderCodec {
    /** Path of the readiness check. */
    abstract readonly readyPath: string;
    abstract decodeRequest(headers: Map<string, string>): RequestHead;
    /** Headers for the endpoint: the caller's without the hop-by-hop ones, and those that the gateway sets. */
    abstract encodeForwardedRequest(callerHeaders: HeaderField[], values: ForwardHeaderValues): Record<string, string>;
    abstract decodeResponse(status: number, headers: Record<string, string | string[] | undefined>): ResponseHead;
    /** Headers for the caller: the endpoint's without the hop-by-hop ones. */
    abstract encodeResponse(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]>;
    /** Headers of a refusal that the gateway itself sends. */
    abstract encodeRefusal(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
