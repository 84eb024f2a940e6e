import { RequestKind, type TrafficRoute } from "@kumquathall/types";
import type { RequestTiming } from "./requestTiming.js";
import type { SharedRetryBudget } from "./sharedRetryBudget.js";

/** Why a request may not be sent again. */
export const NoRetry = {
    /** It may run only once. */
    NotRepeatable: "not-repeatable",
    /** The caller has events of its stream after which no endpoint can go on. */
    NotResumable: "not-resumable",
    /** As many endpoints as the route allows may have run it, or too many were lost. */
    Endpoints: "endpoints",
    /** Too many endpoints have rejected it. */
    Rejections: "rejections",
    /** Its deadline is too close. */
    Time: "time",
    /** The shared budget of the service has no retry left. */
    Budget: "retry-budget-empty",
} as const;
export type NoRetryValue = (typeof NoRetry)[keyof typeof NoRetry];

export interface RetryAllowanceOptions {
    route: TrafficRoute;
    budget: SharedRetryBudget;
    timing: RequestTiming;
}

/** No attempt is started with less than this time to the deadline, in milliseconds. */
export const MIN_ATTEMPT_MS = 20;
/** The request is refused after this many endpoints rejected it without running it. */
const MAX_REJECTIONS = 3;
/** A request is not sent again after this many endpoints were lost while they ran it. */
const MAX_LOST_ENDPOINTS = 3;

/** Decides whether one request may be sent again, from its earlier attempts, its route and the shared retry budget. */
export class RetryAllowance {
    /** An endpoint may have run the request. */
    mayHaveRun = false;
    /** Endpoints that may have run the request, not counting those that were lost while they ran it. */
    private usedEndpoints = 0;
    private lostEndpoints = 0;
    private rejections = 0;
    private canResume = true;
    /** Why the latest retry was not granted. */
    private refusal: NoRetryValue | undefined;

    constructor(private readonly options: RetryAllowanceOptions) {}

    isRepeatable(): boolean {
        const { kind, isResumable } = this.options.route;
        return kind === RequestKind.Idempotent || (kind === RequestKind.Streaming && isResumable);
    }

    /** Whether another endpoint may run the request in place of the one that runs it now, and a retry is left for it. */
    canReplaceEndpoint(isEndpointLost: boolean): boolean {
        return this.findObstacle({ isEndpointLost }) === undefined && this.options.budget.hasRetry();
    }

    /** Takes a retry for an endpoint in place of the one that runs the request now; `false` if there is none. */
    takeReplacement(isEndpointLost: boolean): boolean {
        return this.decide(this.findObstacle({ isEndpointLost }));
    }

    /** Records that the caller has an event after which the stream can't be resumed. */
    recordUnidentifiedEvent(): void {
        this.canResume = false;
    }

    /** Counts an attempt that may have run. Lost endpoints do not count towards the route's limit. */
    recordRun(isEndpointLost: boolean): void {
        this.mayHaveRun = true;
        this.usedEndpoints += isEndpointLost ? 0 : 1;
        this.lostEndpoints += isEndpointLost ? 1 : 0;
    }

    /** Counts a rejection, after which the request has not run, and takes a retry; `false` if there is none. */
    takeRetryAfterRejection(): boolean {
        this.rejections++;
        return this.decide(this.rejections < MAX_REJECTIONS ? undefined : NoRetry.Rejections);
    }

    /** Takes a retry for a stream that has begun and that endpoints have rejected; `false` if there is none. */
    takeRetryOfStream(): boolean {
        return this.decide(this.hasTime() ? undefined : NoRetry.Time);
    }

    /** Takes a retry after an attempt that may have run; `false` if there is none. */
    takeRetry(): boolean {
        return this.decide(this.findObstacle(undefined));
    }

    /** Why the latest retry was not granted; `undefined` if none was refused. */
    getNoRetry(): NoRetryValue | undefined {
        return this.refusal;
    }

    /** Finds what forbids a retry, once the endpoint that runs the request now, if there is one, counts as well. */
    private findObstacle(running: { isEndpointLost: boolean } | undefined): NoRetryValue | undefined {
        const { route } = this.options;
        if (!this.isRepeatable()) {
            return NoRetry.NotRepeatable;
        }
        if (!this.canResume) {
            return NoRetry.NotResumable;
        }
        const used = this.usedEndpoints + (running?.isEndpointLost === false ? 1 : 0);
        const lost = this.lostEndpoints + (running?.isEndpointLost === true ? 1 : 0);
        if (used >= route.maxEndpoints || lost >= MAX_LOST_ENDPOINTS) {
            return NoRetry.Endpoints;
        }
        return this.hasTime() ? undefined : NoRetry.Time;
    }

    private hasTime(): boolean {
        return this.options.timing.getRemainingMs(performance.now()) > MIN_ATTEMPT_MS;
    }

    /** Takes a retry out of the budget unless there is an obstacle. */
    private decide(obstacle: NoRetryValue | undefined): boolean {
        this.refusal = obstacle ?? (this.options.budget.takeRetry() ? undefined : NoRetry.Budget);
        return this.refusal === undefined;
    }
}
