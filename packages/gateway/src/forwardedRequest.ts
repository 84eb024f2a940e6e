import type { Logger } from "@kumquathall/logger";
import { type CrashFact, RequestKind, type TrafficAccount, type TrafficRoute } from "@kumquathall/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerHead, RequestDialect, RequestHead } from "./dialect.js";
import type { EndpointBook, EndpointUse, SentRequest } from "./endpointBook.js";
import { type EndpointChoice, EndpointChooser } from "./endpointChooser.js";
import { type Attempt, listRawHeaders } from "./endpointPool.js";
import { EventSplitter } from "./eventSplitter.js";
import { computeFingerprint } from "./fingerprint.js";
import type { FirstEventBias } from "./firstEventBias.js";
import type { GatewayMetrics } from "./metrics.js";
import { type Refusal, RefusalCause, refuse } from "./refusal.js";
import { RequestTiming } from "./requestTiming.js";
import type { RouteTable } from "./routeTable.js";
import type { SharedRetryBudget } from "./sharedRetryBudget.js";

export interface ForwardedRequestOptions {
    request: IncomingMessage;
    response: ServerResponse;
    body: Buffer;
    /** Monotonic time of the request's first line. */
    arrivedAt: number;
    head: RequestHead;
    route: TrafficRoute;
    account: TrafficAccount | undefined;
    service: string;
    table: RouteTable;
    book: EndpointBook;
    dialect: RequestDialect;
    logger: Logger;
    metrics: GatewayMetrics;
    budget: SharedRetryBudget;
    bias: FirstEventBias;
    /** Time since the caller first sent it, when it arrived, in milliseconds. */
    ageMs: number;
    /** Tells all gateways that an endpoint ended while it ran this request. */
    onCrash: (fact: CrashFact) => void;
    onEnd: () => void;
}

/** Pause before endpoints are looked at again while none can take the request, in milliseconds. */
const LOOK_AGAIN_MS = 20;
/** An attempt that cannot have this much time is not made, in milliseconds. */
const MIN_ATTEMPT_MS = 20;
/** Endpoints that turned a request away unrun before it is refused. */
const MAX_TURNED_AWAY = 3;
/** An endpoint that refused a connection gets nothing new for this long, in milliseconds. */
const AVOID_AFTER_FAILURE_MS = 500;
/** Endpoints serve 0 first and 9 last. Late requests stand behind all that can still be in time. */
const LATE_PRIORITY = 8;
const STATUS_MISDIRECTED = 421;
const FIRST_SERVER_ERROR = 500;

/** One attempt under way. */
interface RunningAttempt {
    use: EndpointUse;
    sent: SentRequest;
    handle: Attempt;
    splitter: EventSplitter;
    answer: AnswerHead | undefined;
    status: number;
    headers: Record<string, string | string[] | undefined>;
    chunks: Buffer[];
}

/** One request of a caller, from its body to its final answer. */
export class ForwardedRequest {
    private readonly triedKeys = new Set<string>();
    private attempt: RunningAttempt | undefined;
    /** Endpoints that may have run it, other than those that were lost while they did. */
    private runs = 0;
    private turnedAway = 0;
    private sends = 0;
    private mayHaveRun = false;
    private isOver = false;
    private lastEventId: number | undefined;
    private firstByteAt: number | undefined;
    private readonly chooser: EndpointChooser;
    /** The newest choice of an endpoint. */
    private choice: EndpointChoice | undefined;
    private retryAfterMs: number | undefined;
    private lastByteAt = 0;
    private readonly timing: RequestTiming;
    private readonly deadlineTimer: NodeJS.Timeout;
    private lookTimer: NodeJS.Timeout | undefined;
    private silenceTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: ForwardedRequestOptions) {
        const { head, route, arrivedAt, response } = options;
        this.chooser = new EndpointChooser(options);
        this.timing = new RequestTiming({ route, arrivedAt, ageMs: options.ageMs, deadlineMs: head.deadlineMs });
        this.lastEventId = head.lastEventId;
        this.deadlineTimer = setTimeout(() => this.handleDeadline(), this.timing.getRemainingMs(performance.now()));
        response.on("close", () => this.handleCallerGone());
    }

    start(): void {
        this.options.budget.recordRequest();
        this.sendNext();
    }

    private computeFingerprint(): string {
        const { account, request, body } = this.options;
        return computeFingerprint(account?.name, request.method ?? "", request.url ?? "", body);
    }

    private isRepeatable(): boolean {
        const { kind, isResumable } = this.options.route;
        return kind === RequestKind.Idempotent || (kind === RequestKind.Streaming && isResumable);
    }

    /** Sends to the best endpoint, or refuses at once. A stream that has begun waits for a group to go on at. */
    private sendNext(): void {
        this.lookTimer = undefined;
        if (this.isOver) {
            return;
        }
        if (this.options.book.isFenced(() => this.computeFingerprint())) {
            this.finishUnserved(RefusalCause.Fenced);
            return;
        }
        const choice = this.chooseEndpoint();
        if (choice.use !== undefined) {
            this.sendTo(choice.use);
            return;
        }
        if (this.firstByteAt !== undefined) {
            this.lookTimer = setTimeout(() => this.sendNext(), LOOK_AGAIN_MS);
            return;
        }
        this.finishUnserved(choice.refusal);
    }

    private chooseEndpoint(): EndpointChoice {
        const now = performance.now();
        this.choice = this.chooser.choose(this.triedKeys, {
            now,
            untilObjectiveMs: this.getUntilObjectiveMs(now),
            untilGivenUpMs: this.timing.getUntilGivenUpMs(now, this.lastByteAt),
        });
        return this.choice;
    }

    /** A stream that has begun is continued by any group: what was done for it would be lost otherwise. */
    private getUntilObjectiveMs(now: number): number {
        return this.firstByteAt === undefined ? this.timing.getUntilObjectiveMs(now) : this.timing.getRemainingMs(now);
    }

    private sendTo(use: EndpointUse): void {
        const remainingMs = this.timing.getRemainingMs(performance.now());
        if (remainingMs < MIN_ATTEMPT_MS) {
            this.finishUnserved(RefusalCause.NotInTime);
            return;
        }
        const { request, body, dialect, head, account, route } = this.options;
        this.triedKeys.add(use.key);
        this.sends++;
        const sent: SentRequest = {
            sentAt: performance.now(),
            promptTokens: head.promptTokens ?? 0,
            hasStarted: false,
            onLost: (reason, hasEnded) => this.handleLost(attempt, reason, hasEnded),
        };
        const headers = dialect.encodeForward(listRawHeaders(request.rawHeaders), {
            remainingMs: Math.floor(remainingMs),
            endpointId: use.view.id,
            account: account?.name,
            priority: this.choice?.isOnTime !== false ? account?.priority ?? route.priority : LATE_PRIORITY,
            lastEventId: this.lastEventId,
        });
        const attempt: RunningAttempt = {
            use,
            sent,
            splitter: new EventSplitter(),
            answer: undefined,
            status: 0,
            headers: {},
            chunks: [],
            handle: { abort: () => undefined },
        };
        this.attempt = attempt;
        this.watchSilence(attempt, this.timing.computeFirstSilenceMs(this.choice?.predictedMs ?? 0));
        use.inFlight.add(sent);
        attempt.handle = use.pool.send(
            {
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers,
                body,
                isRepeatable: this.isRepeatable(),
            },
            {
                onHead: (status, answerHeaders) => this.handleHead(attempt, status, answerHeaders),
                onData: chunk => this.handleData(attempt, chunk),
                onEnd: () => this.handleEnd(attempt),
                onFailure: (error, isSent) => this.handleFailure(attempt, error, isSent),
            },
        );
    }

    /** An endpoint that has stopped moving is left for another while the caller still waits. */
    private watchSilence(attempt: RunningAttempt, silenceMs: number): void {
        clearTimeout(this.silenceTimer);
        this.silenceTimer = setTimeout(() => {
            if (this.attempt !== attempt || !this.isRepeatable() || this.runs + 1 >= this.options.route.maxEndpoints) {
                return;
            }
            attempt.use.avoidUntil = performance.now() + AVOID_AFTER_FAILURE_MS;
            this.abandon(attempt, "the endpoint has fallen silent");
        }, silenceMs);
    }

    private handleHead(
        attempt: RunningAttempt,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        const { dialect, head } = this.options;
        const answer = dialect.decodeAnswer(headers);
        attempt.answer = answer;
        attempt.use.answeredAt = performance.now();
        attempt.status = status;
        attempt.headers = headers;
        if (answer.load !== undefined) {
            attempt.use.toldLoad = { ...answer.load, at: performance.now() };
        }
        const isForeign = answer.requestId !== undefined && answer.requestId !== head.requestId;
        const isForged = (status < 300 && !answer.isSigned && !answer.isNotRun) || answer.isEncoded;
        if (isForeign || isForged) {
            this.abandon(
                attempt,
                isForeign ? "the answer belongs to another request" : "the answer is not the endpoint's",
            );
        }
    }

    private handleData(attempt: RunningAttempt, chunk: Buffer): void {
        if (this.attempt !== attempt || attempt.answer === undefined) {
            return;
        }
        attempt.sent.hasStarted = true;
        if (!this.isStreamed(attempt)) {
            attempt.chunks.push(chunk);
            return;
        }
        for (const event of attempt.splitter.push(chunk)) {
            this.writeHeadOnce(attempt);
            this.lastByteAt = performance.now();
            this.watchSilence(attempt, this.timing.computeGapSilenceMs());
            this.lastEventId = event.id ?? this.lastEventId;
            this.options.response.write(event.bytes);
        }
    }

    private handleEnd(attempt: RunningAttempt): void {
        if (this.attempt !== attempt) {
            return;
        }
        this.release(attempt);
        if (attempt.answer?.isNotRun === true || attempt.status === STATUS_MISDIRECTED) {
            this.handleTurnedAway(attempt);
            return;
        }
        if (this.isStreamed(attempt)) {
            if (attempt.splitter.getRest().length > 0) {
                this.handleBroken(attempt, "the stream ends inside an event", false);
                return;
            }
            this.writeHeadOnce(attempt);
            attempt.use.health.record(false, performance.now());
            this.finish(attempt.status, "served", () => this.options.response.end());
            return;
        }
        this.runs++;
        this.mayHaveRun = true;
        attempt.use.health.record(attempt.status >= FIRST_SERVER_ERROR, performance.now());
        if (attempt.status >= FIRST_SERVER_ERROR && this.firstByteAt === undefined && this.canRepeat()) {
            this.recordAttempt(attempt, "endpoint-error");
            this.sendNext();
            return;
        }
        if (this.firstByteAt !== undefined) {
            this.handleBroken(attempt, `the stream could not be continued (status ${attempt.status})`, false);
            return;
        }
        this.deliverWhole(attempt);
    }

    private handleFailure(attempt: RunningAttempt, error: Error, isSent: boolean): void {
        if (this.attempt !== attempt) {
            return;
        }
        this.release(attempt);
        if (!isSent) {
            attempt.use.avoidUntil = performance.now() + AVOID_AFTER_FAILURE_MS;
            this.handleTurnedAway(attempt);
            return;
        }
        this.handleBroken(attempt, error.message, false);
    }

    /** The endpoint cannot finish what it runs; its answer is not waited for. */
    private handleLost(attempt: RunningAttempt, reason: string, hasEnded: boolean): void {
        if (this.attempt !== attempt) {
            return;
        }
        attempt.handle.abort();
        this.release(attempt);
        if (hasEnded) {
            const fingerprint = this.computeFingerprint();
            this.options.logger.info("request-at-crash", {
                requestId: this.options.head.requestId,
                fingerprint,
                endpoint: attempt.use.key,
            });
            this.options.onCrash({ kind: "crash", fingerprint, endpoint: attempt.use.key });
        }
        this.handleBroken(attempt, reason, hasEnded);
    }

    private abandon(attempt: RunningAttempt, reason: string): void {
        attempt.handle.abort();
        this.release(attempt);
        this.handleBroken(attempt, reason, false);
    }

    /** The endpoint has not run it and never will. */
    private handleTurnedAway(attempt: RunningAttempt): void {
        this.turnedAway++;
        this.recordAttempt(attempt, "turned-away");
        if (this.turnedAway < MAX_TURNED_AWAY && this.options.budget.takeRetry()) {
            this.sendNext();
            return;
        }
        this.finishUnserved(RefusalCause.NoRoom);
    }

    /** The request was sent, may have run, and its answer is not whole. */
    private handleBroken(attempt: RunningAttempt, reason: string, hasEnded: boolean): void {
        this.mayHaveRun = true;
        attempt.use.health.record(true, performance.now());
        // Endpoints that have ended do not count against those that the route allows.
        this.runs += hasEnded ? 0 : 1;
        this.recordAttempt(attempt, reason);
        if (this.canRepeat()) {
            this.sendNext();
            return;
        }
        this.finishUnserved(RefusalCause.EndpointFailed);
    }

    private canRepeat(): boolean {
        return this.isRepeatable() && this.runs < this.options.route.maxEndpoints
            && this.timing.getRemainingMs(performance.now()) > MIN_ATTEMPT_MS && this.options.budget.takeRetry();
    }

    private isStreamed(attempt: RunningAttempt): boolean {
        return this.options.route.kind === RequestKind.Streaming && attempt.status === 200;
    }

    private writeHeadOnce(attempt: RunningAttempt): void {
        if (this.firstByteAt === undefined) {
            this.firstByteAt = performance.now();
            const { response, dialect, bias, head } = this.options;
            if (head.model !== undefined && this.sends === 1) {
                const predictedMs = (this.choice?.predictedMs ?? 0) - bias.get(head.model);
                bias.record(head.model, predictedMs, this.firstByteAt - attempt.sent.sentAt);
            }
            response.writeHead(attempt.status, dialect.encodeAnswer(attempt.headers));
        }
    }

    private deliverWhole(attempt: RunningAttempt): void {
        const { response, dialect } = this.options;
        const body = Buffer.concat(attempt.chunks);
        this.firstByteAt = performance.now();
        this.finish(attempt.status, "served", () => {
            const headers = dialect.encodeAnswer(attempt.headers);
            response.writeHead(attempt.status, { ...headers, "content-length": String(body.length) });
            response.end(body);
        });
    }

    private release(attempt: RunningAttempt): void {
        this.attempt = undefined;
        clearTimeout(this.silenceTimer);
        if (attempt.use.inFlight.delete(attempt.sent)) {
            attempt.use.endedSinceReport++;
        }
    }

    private handleDeadline(): void {
        if (this.isOver) {
            return;
        }
        if (this.attempt !== undefined) {
            this.mayHaveRun = true;
            this.attempt.handle.abort();
            this.release(this.attempt);
        }
        this.finishUnserved(this.mayHaveRun ? RefusalCause.Timeout : RefusalCause.NotInTime);
    }

    private handleCallerGone(): void {
        if (this.isOver) {
            return;
        }
        if (this.attempt !== undefined) {
            this.attempt.handle.abort();
            this.release(this.attempt);
        }
        this.finish(0, "caller-gone", () => undefined);
    }

    /** Ends without an endpoint's answer: refuses, or cuts an answer that has begun so that it does not look whole. */
    private finishUnserved(refusal: Refusal): void {
        const { response, dialect, head } = this.options;
        if (this.firstByteAt !== undefined) {
            this.finish(0, `cut-${refusal.name}`, () => response.destroy());
            return;
        }
        const cause: Refusal = this.mayHaveRun && refusal.status === 503 ? RefusalCause.EndpointFailed : refusal;
        this.retryAfterMs = cause.retryAfterMs;
        this.finish(cause.status, cause.name, () => refuse(response, dialect, head.requestId, cause));
    }

    private finish(status: number, cause: string, effect: () => void): void {
        this.isOver = true;
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.lookTimer);
        clearTimeout(this.silenceTimer);
        effect();
        const { metrics, route, logger, head, service, account, arrivedAt, table } = this.options;
        metrics.answers.inc({ route: route.name, status: String(status), cause });
        if (this.firstByteAt !== undefined) {
            metrics.firstByteSeconds.observe({ route: route.name }, (this.firstByteAt - arrivedAt) / 1000);
        }
        logger.info("request-ended", {
            requestId: head.requestId,
            route: route.name,
            service,
            account: account?.name,
            configuration: table.configuration.version,
            status,
            cause,
            sends: this.sends,
            firstByteMs: this.firstByteAt === undefined ? undefined : Math.round(this.firstByteAt - arrivedAt),
            predictedMs: Math.round(this.choice?.predictedMs ?? 0),
            candidates: this.choice?.candidates,
            ageMs: Math.round(this.options.ageMs),
            retryAfterMs: this.retryAfterMs === undefined ? undefined : Math.round(this.retryAfterMs),
            totalMs: Math.round(performance.now() - arrivedAt),
        });
        this.options.onEnd();
    }

    private recordAttempt(attempt: RunningAttempt, outcome: string): void {
        const { logger, head, service, metrics, book } = this.options;
        metrics.attempts.inc({ service, outcome: attempt.status === 0 ? "broken" : String(attempt.status) });
        const load = book.estimateLoad(attempt.use);
        logger.info("attempt-ended", {
            requestId: head.requestId,
            endpoint: attempt.use.view.id,
            outcome,
            status: attempt.status,
            running: load.running,
            waiting: load.waiting,
            reportAgeMs: Math.round(performance.now() - attempt.use.view.engineReportedAt),
            sinceSentMs: Math.round(performance.now() - attempt.sent.sentAt),
            lastEventId: this.lastEventId,
        });
    }
}
