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
    /** Set if the gateway knows that the endpoint is cold. */
    cold?: ColdWant;
}

/** What a gateway knows of a cold endpoint that it wants permits for, so that a leader without that knowledge can grant. */
export interface ColdWant {
    /** Requests a second that the endpoint tolerates from all gateways together. */
    perSecond: number;
    /** Most requests that it may receive in any second. */
    maxInSecond: number;
    /** Requests that the gateway sent within the last second without a permit, before it knew that the endpoint is cold. */
    sent: number;
}

/** A response shows that an endpoint is cold. */
export interface ColdFact {
    /** The incarnation that responded, as its id and start time. */
    endpoint: string;
    /** Time for which it stayed cold as the response arrived, in milliseconds. */
    coldMs: number;
    /** Time from the arrival of the response to this report, in milliseconds. */
    ageMs: number;
}

/** Permits for one gateway to send requests to an endpoint. */
export interface PermitGrant {
    endpoint: string;
    /** Number of requests that may be sent. */
    count: number;
    /** Time until the next permit can be granted, in milliseconds. */
    nextMs: number;
    /** Time until what was not granted can be expected, with the other gateways' demand, in milliseconds. */
    retryAfterMs: number;
    /** Time after the call for which the permits are valid, in milliseconds; {@link PERMIT_VALID_MS} if not set. */
    validMs?: number;
}

/** Time for which a permit is valid, in milliseconds. */
export const PERMIT_VALID_MS = 1000;
/** Time after the call for which a permit to send to a cold endpoint is valid, in milliseconds. */
export const COLD_PERMIT_VALID_MS = 200;
