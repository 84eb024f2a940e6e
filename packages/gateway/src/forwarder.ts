import { ByteBudget } from "@kumquathall/byte-collector";
import { CapacitySharing, type DemandTotal, type ScheduledReturns } from "@kumquathall/capacity-sharing";
import type { DemandMeter } from "@kumquathall/demand";
import type { Logger } from "@kumquathall/logger";
import { RequestCostEstimator } from "@kumquathall/request-cost";
import type { SuspectRecord } from "@kumquathall/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import { AnswerFlow } from "./answerFlow.js";
import { type CallerConnections, CloseReason } from "./callerConnections.js";
import { CapacityReporter } from "./capacityReporter.js";
import type { CrashReporter } from "./crashReporter.js";
import { DurationEstimator } from "./durationEstimator.js";
import type { EndpointLimits } from "./endpointLimits.js";
import type { EndpointTracker } from "./endpointTracker.js";
import { FirstEventBiasEstimator } from "./firstEventBiasEstimator.js";
import { ForwardedRequest } from "./forwardedRequest.js";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import { InvalidResponses } from "./invalidResponses.js";
import type { GatewayMetrics } from "./metrics.js";
import { describeQuarantine, formatSuspect, type QuarantineList } from "./quarantineList.js";
import { readBody } from "./readBody.js";
import { type Refusal, RefusalCause, refuse } from "./refusal.js";
import { RequestAgeEstimator } from "./requestAgeEstimator.js";
import { RequestScope } from "./requestScope.js";
import { chooseTarget, type RouteTable } from "./routeTable.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";
import { UnreadAnswers } from "./unreadAnswers.js";

export interface ForwarderOptions {
    tracker: EndpointTracker;
    limits: EndpointLimits;
    connections: CallerConnections;
    codec: HttpHeaderCodec;
    logger: Logger;
    metrics: GatewayMetrics;
    getTable: () => RouteTable | undefined;
    /** Returns the region of a data centre; `undefined` if it is not known. */
    getRegion: (dataCentre: string) => string | undefined;
    /** Whether the table is known to be superseded for longer than it may be used. */
    isConfigurationBehind: () => boolean;
    /** Whether the process has been asked to stop. */
    isStopping: () => boolean;
    /** Whether a request that may take this long, in milliseconds, can finish before the process stops. */
    canAccept: (maxDurationMs: number) => boolean;
    /** Whether a request that is whole now and takes this long, in milliseconds, ends before the process stops. */
    canComplete: (durationMs: number) => boolean;
    onFirstRequest: () => void;
    quarantine: QuarantineList;
    crashReporter: CrashReporter;
    /** Measures the work that callers offer; `undefined` if nobody asks for it. */
    demand?: DemandMeter;
    /** Counts the gateways that share the retry budget. */
    countGateways: () => number;
    /** Retries that all gateways together may send beyond the ratio in one window. */
    retrySlack: number;
    /** Retries for each first attempt. */
    retryRatio: number;
    /** Length of the window in which retries are counted, in milliseconds. */
    retryWindowMs: number;
}

/** Time for a caller to read the refusal of a request whose body goes on, in milliseconds. */
const CLOSE_AFTER_MS = 500;
/** Memory for all requests, in bytes: their bodies, their incomplete responses, and the events that callers have not read. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;
const MAX_ANSWER_BYTES = 96 * 1024 * 1024;
const MAX_UNREAD_EVENT_BYTES = 64 * 1024 * 1024;

/** Accepts callers' requests: finds the route and the account, reads the body and starts forwarding. */
export class Forwarder {
    private readonly active = new Set<ForwardedRequest>();
    /** Refusals of requests whose body still arrives. */
    private readonly readingBody = new Set<() => void>();
    private readonly budgets = new Map<string, SharedRetryBudget>();
    private readonly bias = new FirstEventBiasEstimator();
    private readonly costs = new RequestCostEstimator();
    private readonly sharing: CapacitySharing;
    private readonly reporter: CapacityReporter;
    private readonly bodyBytes = new ByteBudget(MAX_BODY_BYTES);
    private readonly answerBytes = new ByteBudget(MAX_ANSWER_BYTES);
    private readonly unreadEventBytes = new ByteBudget(MAX_UNREAD_EVENT_BYTES);
    private readonly unreadAnswers: UnreadAnswers;
    private readonly answerFlow: AnswerFlow;
    private readonly ages = new RequestAgeEstimator();
    private readonly durations = new DurationEstimator();
    private readonly invalidResponses: InvalidResponses;
    private isTrafficSeen = false;

    constructor(private readonly options: ForwarderOptions) {
        this.invalidResponses = new InvalidResponses(options.logger, options.metrics.invalidResponses);
        this.sharing = new CapacitySharing({ countGateways: options.countGateways });
        const { logger, metrics: { admittedFraction } } = options;
        this.reporter = new CapacityReporter({ logger, admittedFraction });
        this.answerFlow = new AnswerFlow({
            countHeldBytes: () => this.answerBytes.getHeld() + this.unreadAnswers.getHeld(),
        });
        this.unreadAnswers = new UnreadAnswers({
            onRoom: () => this.answerFlow.scheduleUpdate(),
            onClose: () => {
                options.metrics.unreadAnswersCut.inc();
                options.logger.warn("unread-answer-cut");
            },
        });
    }

    hasReceivedRequests(): boolean {
        return this.isTrafficSeen;
    }

    countActive(): number {
        return this.active.size;
    }

    /** Counts the bytes that are held for peers, by what they are. */
    countHeldBytes(): Record<string, number> {
        return {
            bodies: this.bodyBytes.getHeld(),
            answers: this.answerBytes.getHeld(),
            unread: this.unreadEventBytes.getHeld() + this.unreadAnswers.getHeld(),
        };
    }

    /** Records the demand over all gateways, as control sums it. */
    recordTotals(items: readonly DemandTotal[], now: number): void {
        this.sharing.recordTotals(items, now);
    }

    /** Counts the requests that have been refused and told to return later, by model. */
    listReturns(now: number): ScheduledReturns[] {
        return this.sharing.listReturns(now);
    }

    /** Gives every request in flight its final answer, since the process ends. */
    endAll(): void {
        [...this.readingBody].forEach(refuseUnread => refuseUnread());
        [...this.active].forEach(forwarded => forwarded.endForStop());
    }

    /** Handles a caller's request. An exception ends this request only. */
    forward(request: IncomingMessage, response: ServerResponse): void {
        const { codec, logger, metrics } = this.options;
        const scope = new RequestScope({ request, response, codec, logger, metrics });
        scope.run(() => this.forwardWithin(scope, request, response));
    }

    private forwardWithin(scope: RequestScope, request: IncomingMessage, response: ServerResponse): void {
        const { codec, metrics, isStopping } = this.options;
        const arrivedAt = performance.now();
        if (!this.isTrafficSeen) {
            this.isTrafficSeen = true;
            this.options.onFirstRequest();
        }
        if (isStopping()) {
            response.setHeader("connection", "close");
        }
        const headers = new Map(
            Object.entries(request.headers).map((
                [name, value],
            ) => [name, Array.isArray(value) ? value.join(",") : value ?? ""]),
        );
        const head = codec.decodeRequest(headers);
        scope.requestId = head.requestId;
        const table = this.options.getTable();
        const target = request.url ?? "/";
        const refuseRequest = (cause: Refusal, route = "none", quarantined?: SuspectRecord) => {
            metrics.answers.inc({ route, status: String(cause.status), cause: cause.name });
            this.options.logger.info("request-refused", {
                requestId: head.requestId,
                route,
                cause: cause.name,
                status: cause.status,
                configuration: table?.getVersion(),
                quarantined: quarantined === undefined ? undefined : formatSuspect(quarantined),
                crashes: quarantined?.crashes.length,
            });
            request.resume();
            refuse(response, codec, head.requestId, cause);
        };
        if (table === undefined) {
            refuseRequest(RefusalCause.NoConfiguration);
            return;
        }
        if (this.options.isConfigurationBehind()) {
            refuseRequest(RefusalCause.ConfigurationBehind);
            return;
        }
        const route = table.findRoute(request.headers.host ?? "", target);
        if (route === undefined) {
            refuseRequest(RefusalCause.NoRoute);
            return;
        }
        const account = table.findAccount(head.key);
        if (account === undefined && table.hasAccounts() && !route.isPublic) {
            refuseRequest(RefusalCause.UnknownKey, route.name);
            return;
        }
        const quarantined = this.options.quarantine.findPart(head.promptParts);
        if (quarantined !== undefined) {
            const detail = describeQuarantine(quarantined);
            refuseRequest({ ...RefusalCause.Quarantined, detail }, route.name, quarantined);
            return;
        }
        const service = chooseTarget(route, Math.random());
        const ageMs = head.deadlineMs === undefined ? 0 : this.ages.estimateAgeMs(route.name, head.deadlineMs);
        const profile = table.getService(service)?.engine;
        if (profile !== undefined) {
            this.options.demand?.record({ ...head, service, profile, ageMs });
        }
        const timeoutMs = Math.min(route.timeoutMs, head.deadlineMs ?? route.timeoutMs);
        if (!this.options.canAccept(timeoutMs)) {
            refuseRequest(RefusalCause.Stopping, route.name);
            return;
        }
        if (this.unreadAnswers.isFull(arrivedAt)) {
            refuseRequest(RefusalCause.AnswersFull, route.name);
            return;
        }
        const configurationVersion = table.getVersion();
        const maxBytes = table.getLimits()?.maxBodyBytes ?? 0;
        const refuseUnread = scope.attach(() => {
            this.readingBody.delete(refuseUnread);
            response.setHeader("connection", "close");
            refuseRequest(RefusalCause.Stopping, route.name);
        });
        scope.setCleanUp(() => this.readingBody.delete(refuseUnread));
        this.readingBody.add(refuseUnread);
        response.on("close", () => this.readingBody.delete(refuseUnread));
        readBody(request, { maxBytes, budget: this.bodyBytes, timeoutMs, scope }, outcome => {
            if (!this.readingBody.delete(refuseUnread)) {
                // The caller has left, or the stop has refused the request.
                if (outcome.kind === "whole") {
                    outcome.release();
                }
                return;
            }
            if (outcome.kind === "tooLarge") {
                refuseRequest(RefusalCause.BodyTooLarge, route.name);
                closeUnlessComplete(request, maxBytes, this.options.connections);
                return;
            }
            if (outcome.kind === "noMemory") {
                refuseRequest(RefusalCause.BodiesFull, route.name);
                closeUnlessComplete(request, maxBytes, this.options.connections);
                return;
            }
            if (outcome.kind === "late") {
                // Without a close, the rest of the body would be parsed as the next request.
                response.setHeader("connection", "close");
                refuseRequest(RefusalCause.BodyLate, route.name);
                return;
            }
            const { body, release } = outcome;
            scope.setCleanUp(release);
            // A body may arrive long after its head: nothing is passed on that the end of the process would cut off.
            const passedOnAt = performance.now();
            const usualMs = this.durations.estimateMs(route.name) ?? route.objectiveMs;
            if (!this.options.canComplete(Math.min(usualMs, timeoutMs - (passedOnAt - arrivedAt)))) {
                release();
                refuseRequest(RefusalCause.Stopping, route.name);
                return;
            }
            const forwarded = new ForwardedRequest({
                request,
                response,
                body,
                arrivedAt,
                head,
                route,
                account,
                service,
                table,
                configurationVersion,
                tracker: this.options.tracker,
                getRegion: this.options.getRegion,
                limits: this.options.limits,
                sharing: this.sharing,
                reporter: this.reporter,
                connections: this.options.connections,
                isStopping,
                codec,
                logger: this.options.logger,
                metrics,
                budget: this.getBudget(service),
                bias: this.bias,
                costs: this.costs,
                ageMs,
                quarantine: this.options.quarantine,
                crashReporter: this.options.crashReporter,
                answerBytes: this.answerBytes,
                answerFlow: this.answerFlow,
                scope,
                unreadEventBytes: this.unreadEventBytes,
                unreadAnswers: this.unreadAnswers,
                invalidResponses: this.invalidResponses,
                onEnd: isServed => {
                    if (isServed) {
                        this.durations.record(route.name, performance.now() - passedOnAt);
                    }
                    release();
                    this.active.delete(forwarded);
                    metrics.active.set(this.active.size);
                },
            });
            this.active.add(forwarded);
            metrics.active.set(this.active.size);
            forwarded.start();
        });
    }

    private getBudget(service: string): SharedRetryBudget {
        const known = this.budgets.get(service);
        if (known !== undefined) {
            return known;
        }
        const { retrySlack: slack, retryRatio: ratio, retryWindowMs: windowMs, countGateways } = this.options;
        const budget = new SharedRetryBudget({ ratio, slack, windowMs, countGateways });
        this.budgets.set(service, budget);
        return budget;
    }
}

/**
 * Closes the connection of a refused request whose body goes on. A connection that is closed while bytes arrive is reset,
 * and the caller may not get the refusal; so up to `maxBytes` more are discarded, and it is closed after a while.
 */
function closeUnlessComplete(request: IncomingMessage, maxBytes: number, connections: CallerConnections): void {
    let discarded = 0;
    request.on("data", (chunk: Buffer) => {
        discarded += chunk.length;
        if (discarded > maxBytes) {
            request.pause();
        }
    });
    setTimeout(() => {
        if (!request.complete) {
            connections.close(request.socket, CloseReason.BodyTooLarge);
        }
    }, CLOSE_AFTER_MS).unref();
}
