import { PeerTimer } from "@kumquathall/peer-timers";
import { RequestKind, type SuspectRecord } from "@kumquathall/types";
import { checkResponse, isPromise, isRejection } from "./acceptResponse.js";
import { CloseReason } from "./callerConnections.js";
import { CallerResponse } from "./callerResponse.js";
import { type EndpointChoice, EndpointChooser } from "./endpointChooser.js";
import { isMalformed, listRawHeaders } from "./endpointPool.js";
import type { SentRequest, TrackedEndpoint } from "./endpointTracker.js";
import { describeEventId, LastEventId } from "./eventId.js";
import { EventStreamParser, MAX_EVENT_BYTES } from "./eventStreamParser.js";
import type { ForwardedRequestOptions } from "./forwardedRequestOptions.js";
import { HeldAnswer } from "./heldAnswer.js";
import { IncompleteCause, type IncompleteCauseValue } from "./incompleteCause.js";
import { InvalidResponseReason, type InvalidResponseReasonValue } from "./invalidResponses.js";
import { describeQuarantine } from "./quarantineList.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import { RequestRecorder } from "./requestRecorder.js";
import { RequestSubjects } from "./requestSubjects.js";
import { RequestTiming } from "./requestTiming.js";
import { RequestWork } from "./requestWork.js";
import { MIN_ATTEMPT_MS, RetryAllowance } from "./retryAllowance.js";
import { hasFraming, readMediaType, recordLoad, recordNotices, type RunningAttempt } from "./runningAttempt.js";

/** Interval between choices of an endpoint while none is available to continue a stream, in milliseconds. */
const CHOICE_RETRY_MS = 20;
/** A call for permits ends within this time, in milliseconds. */
const PERMIT_WAIT_MS = 300;
/** An endpoint that refused a connection or stalled gets no new requests for this long, in milliseconds. */
const AVOID_AFTER_FAILURE_MS = 500;
/** Endpoints serve priority 0 first and 9 last. Requests that miss their objective yield to those that can meet it. */
const LATE_PRIORITY = 8;
/** Interval between searches for another endpoint while a stream waits for one, in milliseconds. */
const REPLACEMENT_CHECK_MS = 250;
const FIRST_SERVER_ERROR = 500;
/** Cause of the end of a request with a complete answer of an endpoint. */
const SERVED = "served";

/** Forwards one request, whose body is complete, until the caller has its final response. */
export class ForwardedRequest {
    private readonly triedKeys = new Set<string>();
    /** Endpoints that have rejected the request without running it. */
    private readonly rejectedKeys = new Set<string>();
    private attempt: RunningAttempt | undefined;
    private readonly subjects: RequestSubjects;
    /** Record of the quarantine by which the request is refused. */
    private quarantineRecord: SuspectRecord | undefined;
    private sends = 0;
    private isFinished = false;
    private readonly lastEventId: LastEventId;
    /** Media type of the stream that has begun. */
    private mediaType: string | undefined;
    private readonly chooser: EndpointChooser;
    /** The latest choice of an endpoint. */
    private choice: EndpointChoice | undefined;
    private retryAfterMs: number | undefined;
    /** Why the latest attempt has no complete response. */
    private incomplete: IncompleteCauseValue | undefined;
    /** Monotonic time at which an endpoint last sent something, in milliseconds. */
    private lastDataAt: number | undefined;
    private readonly answer: CallerResponse;
    private readonly recorder: RequestRecorder;
    private readonly timing: RequestTiming;
    private readonly work: RequestWork;
    private readonly retries: RetryAllowance;
    private readonly deadlineTimer: PeerTimer;
    private choiceTimer: NodeJS.Timeout | undefined;
    /** Cancels a wait for permits. */
    private cancelWait: (() => void) | undefined;
    private readonly stallTimer: PeerTimer;

    constructor(private readonly options: ForwardedRequestOptions) {
        const { head, route, arrivedAt, response } = options;
        this.answer = new CallerResponse({ ...options, requestId: head.requestId });
        this.recorder = new RequestRecorder(options);
        this.work = new RequestWork(options);
        this.chooser = new EndpointChooser({ ...options, work: this.work });
        this.subjects = new RequestSubjects({
            account: options.account?.name,
            method: options.request.method ?? "",
            path: options.request.url ?? "",
            body: options.body,
            promptParts: head.promptParts,
            quarantine: options.quarantine,
            crashReporter: options.crashReporter,
        });
        this.timing = new RequestTiming({ route, arrivedAt, ageMs: options.ageMs, deadlineMs: head.deadlineMs });
        this.retries = new RetryAllowance({ route, budget: options.budget, timing: this.timing });
        this.lastEventId = new LastEventId(head.lastEventId, options.answerBytes);
        const { scope } = options;
        this.deadlineTimer = new PeerTimer({
            onExpire: scope.attach(() => this.handleDeadline()),
            allowsForStalls: false,
        });
        this.deadlineTimer.start(this.timing.getRemainingMs(performance.now()));
        this.stallTimer = new PeerTimer({ onExpire: scope.attach(() => this.handleSilence()) });
        response.on("close", scope.attach(() => this.handleCallerDisconnect()));
    }

    start(): void {
        this.options.scope.setCleanUp(() => this.stopForFault());
        this.options.budget.recordRequest();
        this.sendNext();
    }

    private recordInvalidResponse(
        attempt: RunningAttempt,
        reason: InvalidResponseReasonValue,
        status = attempt.status,
    ): void {
        const { invalidResponses, head } = this.options;
        const endpoint = attempt.endpoint.view.id;
        invalidResponses.record({ endpoint, reason, requestId: head.requestId, status });
    }

    /** Gives the request its final answer, since the process ends. A response that has begun can only be cut off. */
    endForStop(): void {
        this.options.scope.run(() => this.finishForStop());
    }

    /** Stops what goes on for the request, which an exception has ended. */
    private stopForFault(): void {
        this.isFinished = true;
        this.lastEventId.close();
        this.deadlineTimer.stop();
        this.stopWaiting();
        this.stallTimer.stop();
        const { attempt } = this;
        if (attempt !== undefined) {
            attempt.handle.abort();
            this.release(attempt);
        }
        this.options.onEnd(false);
    }

    private finishForStop(): void {
        if (this.isFinished) {
            return;
        }
        if (this.attempt !== undefined) {
            this.retries.mayHaveRun ||= this.attempt.handle.isWritten();
            this.abortUnfinished(this.attempt);
        }
        this.incomplete = IncompleteCause.StopEnded;
        this.finishWithoutResponse(this.retries.mayHaveRun ? RefusalCause.StopEnded : RefusalCause.Stopping);
    }

    /** Sends to the best endpoint or refuses at once. A started stream waits for a group that can continue it. */
    private sendNext(): void {
        this.choiceTimer = undefined;
        if (this.isFinished) {
            return;
        }
        this.quarantineRecord = this.subjects.findQuarantine();
        if (this.quarantineRecord !== undefined) {
            const detail = describeQuarantine(this.quarantineRecord);
            this.finishWithoutResponse({ ...RefusalCause.Quarantined, detail });
            return;
        }
        const choice = this.chooseEndpoint();
        if (choice.endpoint !== undefined) {
            this.sendTo(choice.endpoint);
            return;
        }
        if (this.answer.hasBegun()) {
            this.waitForPermit(CHOICE_RETRY_MS);
            return;
        }
        if (choice.permitWaitMs !== undefined) {
            this.waitForPermit(choice.permitWaitMs > 0 ? choice.permitWaitMs : PERMIT_WAIT_MS);
            return;
        }
        this.finishWithoutResponse(choice.refusal);
    }

    /** Chooses again after `waitMs`, or once control has granted permits. */
    private waitForPermit(waitMs: number): void {
        const choose = this.options.scope.attach(() => {
            this.stopWaiting();
            this.sendNext();
        });
        this.choiceTimer = setTimeout(choose, waitMs);
        this.cancelWait = this.options.limits.waitForPermits(choose);
    }

    /** Waits for a retry of a stream that has begun: closing its connection would waste what its caller has. */
    private waitForRetry(): void {
        const takeRetry = this.options.scope.attach(() => {
            if (!this.retries.takeRetryOfStream()) {
                this.waitForRetry();
                return;
            }
            // An endpoint that was full may have room now.
            this.rejectedKeys.forEach(key => this.triedKeys.delete(key));
            this.rejectedKeys.clear();
            this.sendNext();
        });
        this.choiceTimer = setTimeout(takeRetry, REPLACEMENT_CHECK_MS);
    }

    private stopWaiting(): void {
        clearTimeout(this.choiceTimer);
        this.cancelWait?.();
        this.cancelWait = undefined;
    }

    private chooseEndpoint(): EndpointChoice {
        const now = performance.now();
        this.choice = this.chooser.choose(this.triedKeys, {
            now,
            timeToObjectiveMs: this.getTimeToObjectiveMs(now),
            timeToAbandonmentMs: this.timing.getTimeToAbandonmentMs(now, this.answer.lastByteAt),
            timeLeftMs: this.timing.getRemainingMs(now),
        });
        return this.choice;
    }

    /** A started stream may use all the time to its deadline: refusing it would waste the work done so far. */
    private getTimeToObjectiveMs(now: number): number {
        return !this.answer.hasBegun() ? this.timing.getTimeToObjectiveMs(now) : this.timing.getRemainingMs(now);
    }

    private sendTo(endpoint: TrackedEndpoint): void {
        const remainingMs = this.timing.getRemainingMs(performance.now());
        if (remainingMs < MIN_ATTEMPT_MS) {
            this.finishWithoutResponse(RefusalCause.NotInTime);
            return;
        }
        const { request, body, codec, head, account, route, scope } = this.options;
        this.options.limits.takePermit(endpoint.key, performance.now());
        this.triedKeys.add(endpoint.key);
        this.sends++;
        const sent: SentRequest = {
            sentAt: performance.now(),
            promptTokens: head.promptTokens ?? 0,
            hasStarted: false,
            headAt: undefined,
            firstContentAt: undefined,
            describe: () => this.subjects.describe(),
            onLost: scope.attach((reason, isEndpointLost) => this.handleEndpointLost(attempt, reason, isEndpointLost)),
            onClosed: scope.attach(() => this.takeBack(attempt)),
        };
        const priority = this.choice?.isOnTime !== false ? account?.priority ?? route.priority : LATE_PRIORITY;
        const headers = codec.encodeForwardedRequest(listRawHeaders(request.rawHeaders), {
            remainingMs: Math.floor(remainingMs),
            endpointId: endpoint.view.id,
            account: account?.name,
            priority,
            lastEventId: this.lastEventId.get(),
        });
        const attempt: RunningAttempt = {
            endpoint,
            sent,
            parser: new EventStreamParser(this.options.answerBytes),
            isContinuation: this.answer.hasBegun(),
            responseHead: undefined,
            status: 0,
            headers: {},
            answer: new HeldAnswer(this.options.answerBytes),
            handle: {
                abort: () => undefined,
                isWritten: () => false,
                stopReading: () => undefined,
                startReading: () => undefined,
            },
            lastDataAt: performance.now(),
            loss: undefined,
        };
        this.attempt = attempt;
        this.stallTimer.start(this.timing.computeFirstByteTimeoutMs(this.choice?.predictedMs ?? 0));
        this.work.recordSent(endpoint, sent, priority);
        this.options.invalidResponses.watch(endpoint);
        attempt.handle = endpoint.pool.send(
            {
                method: request.method ?? "GET",
                path: request.url ?? "/",
                headers,
                body,
                isRepeatable: this.retries.isRepeatable(),
            },
            {
                onHead: scope.attach((status, responseHeaders) => this.handleHead(attempt, status, responseHeaders)),
                onData: scope.attach(chunk => this.handleData(attempt, chunk)),
                onEnd: scope.attach(() => this.handleEnd(attempt)),
                onFailure: scope.attach((error, isSent) => this.handleFailure(attempt, error, isSent)),
            },
        );
    }

    private handleSilence(): void {
        if (this.attempt !== undefined && this.options.answerFlow.isPaused(this.attempt.handle)) {
            this.stallTimer.start(REPLACEMENT_CHECK_MS);
        }
        else if (this.attempt !== undefined) {
            this.handleStall(this.attempt, IncompleteCause.EndpointSilent);
        }
    }

    /** Moves a request from a silent endpoint if another takes it; otherwise the endpoint may still complete it. */
    private handleStall(attempt: RunningAttempt, cause: IncompleteCauseValue): void {
        if (this.attempt !== attempt) {
            return;
        }
        const next = this.takeReplacement(attempt);
        if (next === undefined) {
            this.stallTimer.start(REPLACEMENT_CHECK_MS);
            return;
        }
        attempt.endpoint.avoidUntil = performance.now() + AVOID_AFTER_FAILURE_MS;
        attempt.handle.abort();
        this.release(attempt);
        this.recordIncompleteResponse(attempt, attempt.loss?.reason ?? "the endpoint has stalled", cause);
        this.sendTo(next);
    }

    /** Chooses an endpoint in place of the one that runs the request now, and takes a retry for it. */
    private takeReplacement(attempt: RunningAttempt): TrackedEndpoint | undefined {
        const isEndpointLost = attempt.loss?.isEndpointLost === true;
        if (!this.retries.canReplaceEndpoint(isEndpointLost) || this.subjects.findQuarantine() !== undefined) {
            return undefined;
        }
        const current = this.choice;
        const { endpoint } = this.chooseEndpoint();
        if (endpoint !== undefined && this.retries.takeReplacement(isEndpointLost)) {
            return endpoint;
        }
        this.choice = current;
        return undefined;
    }

    private handleHead(
        attempt: RunningAttempt,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        const { codec, head } = this.options;
        const responseHead = codec.decodeResponse(status, headers);
        const invalidity = checkResponse(status, responseHead, head);
        if (invalidity !== undefined) {
            this.recordInvalidResponse(attempt, invalidity, status);
            this.abandon(attempt, `the response is not valid: ${invalidity}`);
            return;
        }
        attempt.responseHead = responseHead;
        attempt.lastDataAt = performance.now();
        attempt.sent.headAt = performance.now();
        attempt.endpoint.lastResponseAt = performance.now();
        attempt.status = status;
        attempt.headers = headers;
        if (responseHead.load !== undefined) {
            recordLoad(attempt.endpoint, responseHead.load);
        }
        recordNotices(attempt, responseHead, this.options);
        if (attempt.isContinuation && this.isStream(attempt) && readMediaType(headers) !== this.mediaType) {
            this.abandon(attempt, "the response that continues the stream has another type");
        }
    }

    private handleData(attempt: RunningAttempt, chunk: Buffer): void {
        if (this.attempt !== attempt || attempt.responseHead === undefined) {
            return;
        }
        attempt.sent.hasStarted = true;
        attempt.lastDataAt = performance.now();
        if (!this.isStream(attempt)) {
            this.recordFirstContent(attempt);
            if (!attempt.answer.add(chunk)) {
                this.recordInvalidResponse(attempt, InvalidResponseReason.TooLarge);
                this.abandon(attempt, "the response has more bytes than may be held");
                return;
            }
            this.options.answerFlow.recordBytes(attempt.handle);
            return;
        }
        let isBehind = false;
        for (const event of attempt.parser.push(chunk)) {
            const isNext = event.id !== undefined && this.lastEventId.isBefore(event.id);
            if (attempt.isContinuation && !event.isComment && !isNext) {
                const lastId = describeEventId(this.lastEventId.get());
                this.abandon(attempt, `an event does not continue the stream after event ${lastId}`);
                return;
            }
            this.recordFirstContent(attempt);
            if (!event.isComment) {
                this.work.recordEvent(attempt.endpoint, attempt.sent);
            }
            this.writeHeadOnce(attempt);
            this.stallTimer.start(this.timing.computeStreamIdleTimeoutMs());
            if (!event.isComment) {
                this.recordEventId(isNext ? event.id : undefined);
            }
            isBehind = !this.answer.writeEvent(event.bytes);
            if (isBehind) {
                break;
            }
        }
        if (attempt.parser.hasExceededLimit()) {
            this.recordInvalidResponse(attempt, InvalidResponseReason.TooLarge);
            this.abandon(
                attempt,
                `an event is larger than ${MAX_EVENT_BYTES} bytes, or all responses hold as much as they may`,
            );
        }
        else if (isBehind) {
            this.abortUnfinished(attempt);
            this.incomplete = IncompleteCause.CallerBehind;
            this.finishWithoutResponse(RefusalCause.CallerBehind);
        }
    }

    /** Records the id of an event that the caller has; `undefined` if the stream can't go on after it elsewhere. */
    private recordEventId(id: string | undefined): void {
        if (id === undefined || !this.lastEventId.replace(id)) {
            this.retries.recordUnidentifiedEvent();
        }
    }

    private recordFirstContent(attempt: RunningAttempt): void {
        if (attempt.sent.firstContentAt === undefined) {
            this.options.tracker.recordFirstContent(attempt.endpoint, attempt.sent, performance.now());
        }
    }

    private handleEnd(attempt: RunningAttempt): void {
        if (this.attempt !== attempt) {
            return;
        }
        const body = attempt.answer.getBody();
        const endsInsideEvent = attempt.parser.countIncompleteBytes() > 0;
        this.release(attempt);
        if (isRejection(attempt.status, attempt.responseHead, this.options.head)) {
            this.handleRejection(attempt);
            return;
        }
        if (this.isStream(attempt)) {
            if (endsInsideEvent) {
                this.handleIncompleteResponse(attempt, "the stream ends inside an event");
                return;
            }
            if (attempt.sent.firstContentAt === undefined && !hasFraming(attempt.headers)) {
                this.handleIncompleteResponse(attempt, "the stream ended before its first event");
                return;
            }
            this.writeHeadOnce(attempt);
            attempt.endpoint.health.record(false, performance.now());
            this.subjects.reportSurvival(attempt.endpoint, hasFraming(attempt.headers));
            this.finish(attempt.status, SERVED, () => this.answer.endStream());
            return;
        }
        if (this.answer.hasBegun()) {
            this.handleIncompleteResponse(attempt, `the stream could not be continued (status ${attempt.status})`);
            return;
        }
        this.retries.recordRun(false);
        attempt.endpoint.health.record(attempt.status >= FIRST_SERVER_ERROR, performance.now());
        this.subjects.reportSurvival(attempt.endpoint, hasFraming(attempt.headers));
        if (attempt.status >= FIRST_SERVER_ERROR && this.retries.takeRetry()) {
            this.recorder.recordAttempt(attempt, "endpoint-error", this.lastEventId.get());
            this.sendNext();
            return;
        }
        if (isPromise(attempt.status) && !this.retries.isRepeatable()) {
            this.recorder.recordAttempt(
                attempt,
                "the status promises more than the endpoint does",
                this.lastEventId.get(),
            );
            this.finishWithoutResponse(RefusalCause.EndpointFailed);
            return;
        }
        this.deliverResponse(attempt, body);
    }

    private handleFailure(attempt: RunningAttempt, error: Error, isSent: boolean): void {
        if (this.attempt !== attempt) {
            return;
        }
        this.release(attempt);
        if (!isSent) {
            attempt.endpoint.avoidUntil = performance.now() + AVOID_AFTER_FAILURE_MS;
            this.handleRejection(attempt);
            return;
        }
        if (isMalformed(error)) {
            this.recordInvalidResponse(attempt, InvalidResponseReason.Malformed);
        }
        this.handleIncompleteResponse(attempt, error.message);
    }

    /**
     * Handles the report that the endpoint or its group is lost. A response that has begun stays until another endpoint can
     * continue it or it breaks off: only a closed connection could end it, and the report may be wrong.
     */
    private handleEndpointLost(attempt: RunningAttempt, reason: string, isEndpointLost: boolean): void {
        if (this.attempt !== attempt) {
            return;
        }
        attempt.loss = { reason, isEndpointLost };
        if (this.answer.hasBegun()) {
            this.handleStall(attempt, IncompleteCause.EndpointLost);
            return;
        }
        attempt.handle.abort();
        this.release(attempt);
        this.handleIncompleteResponse(attempt, reason, IncompleteCause.EndpointLost);
    }

    /** Sends a request elsewhere of which the endpoint has received nothing and will receive nothing. */
    private takeBack(attempt: RunningAttempt): void {
        if (this.attempt !== attempt || attempt.handle.isWritten()) {
            return;
        }
        attempt.handle.abort();
        this.release(attempt);
        this.recorder.recordAttempt(attempt, "taken-back", this.lastEventId.get());
        this.sendNext();
    }

    /** Aborts an attempt whose response nobody waits for any more. */
    private abortUnfinished(attempt: RunningAttempt): void {
        attempt.handle.abort();
        this.release(attempt);
        this.options.tracker.recordBrokenAttempt(attempt.endpoint, attempt.sent);
    }

    private abandon(attempt: RunningAttempt, reason: string): void {
        attempt.handle.abort();
        this.release(attempt);
        this.handleIncompleteResponse(attempt, reason);
    }

    /** Handles a rejection: the endpoint guarantees that it has not run the request. */
    private handleRejection(attempt: RunningAttempt): void {
        const hasRetry = this.retries.takeRetryAfterRejection();
        this.rejectedKeys.add(attempt.endpoint.key);
        this.recorder.recordAttempt(attempt, "turned-away", this.lastEventId.get());
        if (hasRetry) {
            this.sendNext();
            return;
        }
        if (this.answer.hasBegun()) {
            this.waitForRetry();
            return;
        }
        this.finishWithoutResponse(this.chooser.findPauseRefusal(performance.now()) ?? RefusalCause.NoRoom);
    }

    /** Handles an attempt that was sent, may have run, and has no complete response. */
    private handleIncompleteResponse(
        attempt: RunningAttempt,
        reason: string,
        cause: IncompleteCauseValue = IncompleteCause.EndpointBroke,
    ): void {
        this.recordIncompleteResponse(attempt, reason, cause);
        if (this.retries.takeRetry()) {
            this.sendNext();
            return;
        }
        this.finishWithoutResponse(RefusalCause.EndpointFailed);
    }

    private recordIncompleteResponse(attempt: RunningAttempt, reason: string, cause: IncompleteCauseValue): void {
        const isEndpointLost = attempt.loss?.isEndpointLost === true;
        this.incomplete = cause;
        this.retries.recordRun(isEndpointLost);
        attempt.endpoint.health.record(true, performance.now());
        if (!isEndpointLost) {
            this.options.tracker.recordBrokenAttempt(attempt.endpoint, attempt.sent);
        }
        this.recorder.recordAttempt(attempt, reason, this.lastEventId.get());
    }

    private isStream(attempt: RunningAttempt): boolean {
        return this.options.route.kind === RequestKind.Streaming && attempt.status === 200
            && attempt.responseHead?.isNotRun !== true;
    }

    private writeHeadOnce(attempt: RunningAttempt): void {
        if (this.answer.hasBegun()) {
            return;
        }
        const { bias, head } = this.options;
        if (head.model !== undefined && this.sends === 1) {
            const predictedMs = (this.choice?.predictedMs ?? 0) - bias.get(head.model);
            bias.record(head.model, predictedMs, performance.now() - attempt.sent.sentAt);
        }
        this.mediaType = readMediaType(attempt.headers);
        this.answer.writeHead(attempt.status, attempt.headers);
    }

    private deliverResponse(attempt: RunningAttempt, body: Buffer): void {
        this.finish(attempt.status, SERVED, () => this.answer.deliver(attempt.status, attempt.headers, body));
    }

    private release(attempt: RunningAttempt): void {
        this.attempt = undefined;
        this.lastDataAt = attempt.lastDataAt;
        attempt.answer.close();
        this.options.answerFlow.remove(attempt.handle);
        attempt.parser.close();
        this.stallTimer.stop();
        this.work.recordEnd(attempt.endpoint, attempt.sent);
    }

    private handleDeadline(): void {
        if (this.isFinished) {
            return;
        }
        if (this.attempt !== undefined) {
            this.retries.mayHaveRun = true;
            this.abortUnfinished(this.attempt);
        }
        this.incomplete = this.retries.mayHaveRun ? IncompleteCause.Deadline : undefined;
        this.finishWithoutResponse(this.retries.mayHaveRun ? RefusalCause.Timeout : RefusalCause.NotInTime);
    }

    private handleCallerDisconnect(): void {
        if (this.isFinished) {
            return;
        }
        if (this.attempt !== undefined) {
            this.abortUnfinished(this.attempt);
        }
        const isClosedHere = this.options.connections.findCloseReason(this.options.request) !== undefined;
        this.incomplete = isClosedHere ? IncompleteCause.ClosedHere : IncompleteCause.CallerLeft;
        this.finish(0, isClosedHere ? "closed-here" : "caller-gone", () => undefined);
    }

    /** Refuses the request, or closes the connection of a started response so that the caller detects the failure. */
    private finishWithoutResponse(refusal: Refusal): void {
        const { connections, request } = this.options;
        if (this.answer.hasBegun()) {
            this.finish(
                0,
                `cut-${refusal.name}`,
                () => connections.close(request.socket, CloseReason.Incomplete),
            );
            return;
        }
        const cause: Refusal = this.retries.mayHaveRun && refusal.status === 503
            ? { ...RefusalCause.EndpointFailed, detail: refusal.detail }
            : refusal;
        this.retryAfterMs = cause.retryAfterMs;
        this.finish(cause.status, cause.name, () => this.answer.refuse(cause));
    }

    private finish(status: number, cause: string, effect: () => void): void {
        this.isFinished = true;
        this.lastEventId.close();
        this.deadlineTimer.stop();
        this.stopWaiting();
        this.stallTimer.stop();
        effect();
        const isServed = cause === SERVED;
        if (isServed) {
            this.work.recordServed(status);
        }
        this.recorder.recordEnd({
            status,
            cause,
            sends: this.sends,
            firstByteAt: this.answer.firstByteAt,
            choice: this.choice,
            work: this.work.getFigures(),
            quarantineRecord: this.quarantineRecord,
            retryAfterMs: this.retryAfterMs,
            incomplete: isServed ? undefined : this.incomplete,
            closeReason: this.options.connections.findCloseReason(this.options.request),
            noRetry: isServed ? undefined : this.retries.getNoRetry(),
            silentMs: isServed || this.lastDataAt === undefined ? undefined : performance.now() - this.lastDataAt,
        });
        this.options.onEnd(isServed);
    }
}
