/** Limits on the requests that endpoints accept, which they name in their responses. */

/** What a response says of its endpoint's limit. */
export interface NamedLimit {
    /** Requests a second that the endpoint accepts from all gateways together; `undefined` if `text` is not a number. */
    perSecond: number | undefined;
    /** The limit as the endpoint has written it. */
    text: string;
}

/** A response shows that an endpoint's limit has changed. */
export interface LimitFact {
    /** The incarnation that limits its requests, as its id and start time. */
    endpoint: string;
    /** Requests a second that it accepts from all gateways together; `undefined` if it no longer names a limit. */
    perSecond: number | undefined;
    /**
     * Time to this report from the arrival of the response, in milliseconds. If the response names no limit, from the
     * send of its request: the response may be older than others that name one.
     */
    ageMs: number;
}

/** A gateway asks for permits to send requests to an endpoint; with the limit as the gateway knows it. */
export interface PermitWant extends LimitFact {
    count: number;
}

/** Permits for one gateway to send requests to an endpoint. They expire after {@link PERMIT_VALID_MS}. */
export interface PermitGrant {
    endpoint: string;
    /** Number of requests that may be sent. */
    count: number;
    /** Time until the next permit can be granted, in milliseconds. */
    nextMs: number;
    /** Time until what was not granted can be expected, with the other gateways' demand, in milliseconds. */
    retryAfterMs: number;
}

/** Time for which a permit is valid, in milliseconds. */
export const PERMIT_VALID_MS = 1000;
