import { LimitBoard } from "@kumquathall/endpoint-limits";
import type { Logger } from "@kumquathall/logger";
import type { LimitFact, NamedLimit } from "@kumquathall/types";

/** What a valid response shows of its endpoint's limit. */
export interface LimitResponse {
    /** The incarnation that responds, as its id and start time. */
    endpoint: string;
    /** Monotonic time at which its request was sent, in milliseconds. */
    sentAt: number;
    limit: NamedLimit | undefined;
}

export interface EndpointLimitsOptions {
    logger: Logger;
}

/** Limits that are not numbers are logged for each endpoint at this interval, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;
/** Endpoints whose invalid limits are remembered as logged. */
const MAX_INVALID = 1000;

/** The limits that endpoints name in their responses. */
export class EndpointLimits {
    private readonly board = new LimitBoard();
    /** Time of the last log line about an invalid limit, by endpoint. */
    private readonly invalidLoggedAt = new Map<string, number>();

    constructor(private readonly options: EndpointLimitsOptions) {}

    /** Records what a response shows. A limit that is not a number leaves the last valid one in force. */
    recordResponse(response: LimitResponse, now: number): void {
        const { endpoint, sentAt, limit } = response;
        if (limit === undefined) {
            if (this.board.isNamed(endpoint)) {
                this.recordOwn({ endpoint, perSecond: undefined, ageMs: now - sentAt }, now);
            }
        }
        else if (limit.perSecond === undefined) {
            this.reportInvalid(endpoint, limit.text, now);
        }
        else {
            this.recordOwn({ endpoint, perSecond: limit.perSecond, ageMs: 0 }, now);
        }
    }

    private recordOwn(fact: LimitFact, now: number): void {
        if (!this.board.record(fact, now)) {
            return;
        }
        const { endpoint, perSecond } = fact;
        this.options.logger.info(perSecond === undefined ? "endpoint-limit-not-named" : "endpoint-limit-named", {
            endpoint,
            perSecond,
        });
    }

    private reportInvalid(endpoint: string, text: string, now: number): void {
        const loggedAt = this.invalidLoggedAt.get(endpoint);
        if (loggedAt !== undefined && now - loggedAt < INVALID_LOG_INTERVAL_MS) {
            return;
        }
        if (this.invalidLoggedAt.size >= MAX_INVALID) {
            this.invalidLoggedAt.clear();
        }
        this.invalidLoggedAt.set(endpoint, now);
        this.options.logger.warn("endpoint-limit-invalid", {
            endpoint,
            text,
            remedy: "name a decimal number of 0 or more",
        });
    }
}
