import type { HeaderField } from "@kumquathall/types";

/** What a caller's request says about itself, decoded from its headers. */
export interface RequestHead {
    requestId: string | undefined;
    /** Time that the caller will wait, in milliseconds. */
    deadlineMs: number | undefined;
    key: string | undefined;
    model: string | undefined;
    promptTokens: number | undefined;
    maxAnswerTokens: number | undefined;
    /** The caller's estimate of the length of the answer. */
    answerTokensHint: number | undefined;
    lastEventId: number | undefined;
}

/** Headers that the gateway sets on the way to an endpoint. */
export interface ForwardHeaderValues {
    remainingMs: number;
    endpointId: string;
    account: string | undefined;
    /** 0 is first; `undefined` leaves it to the endpoint. */
    priority: number | undefined;
    /** Continues a stream after this event. */
    lastEventId: number | undefined;
}

/** What an endpoint's answer says besides its status. */
export interface ResponseHead {
    requestId: string | undefined;
    /** The endpoint vouches that it has not run the request. */
    isNotRun: boolean;
    /** The answer bears the endpoint's signature. */
    isSigned: boolean;
    isEncoded: boolean;
    /** Requests running and waiting, and slots, where the endpoint tells. */
    load: { running: number; waiting: number; slots: number } | undefined;
}

/** Names of headers between callers, gateway and endpoints. */
export abstract class HttpHeaderCodec {
    /** Path of the readiness check. */
    abstract readonly readyPath: string;
    abstract decodeRequest(headers: Map<string, string>): RequestHead;
    /** Headers for the endpoint: the caller's, without those of the channel, and those of the terms. */
    abstract encodeForwardedRequest(callerHeaders: HeaderField[], terms: ForwardHeaderValues): Record<string, string>;
    abstract decodeResponse(headers: Record<string, string | string[] | undefined>): ResponseHead;
    /** Headers for the caller: the endpoint's, without those of the channel. */
    abstract encodeResponse(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]>;
    /** Headers of an answer of the gateway itself. */
    abstract encodeRefusal(requestId: string | undefined, retryAfterMs: number | undefined): Record<string, string>;
}
