import type { Logger } from "@kumquathall/logger";
import type { SuspectRecord, TrafficAccount, TrafficRoute } from "@kumquathall/types";
import type { EndpointChoice } from "./endpointChooser.js";
import type { EndpointTracker } from "./endpointTracker.js";
import { describeEventId } from "./eventId.js";
import type { RequestHead } from "./httpHeaderCodec.js";
import type { IncompleteCauseValue } from "./incompleteCause.js";
import type { GatewayMetrics } from "./metrics.js";
import { formatSuspect } from "./quarantineList.js";
import type { WorkFigures } from "./requestWork.js";
import type { RunningAttempt } from "./runningAttempt.js";

export interface RequestRecorderOptions {
    /** Monotonic time at which the request's headers arrived, in milliseconds. */
    arrivedAt: number;
    head: RequestHead;
    route: TrafficRoute;
    account: TrafficAccount | undefined;
    service: string;
    configurationVersion: number;
    tracker: EndpointTracker;
    logger: Logger;
    metrics: GatewayMetrics;
    ageMs: number;
    isStopping: () => boolean;
}

/** How a request ended. */
export interface RequestEnd {
    status: number;
    cause: string;
    sends: number;
    firstByteAt: number | undefined;
    choice: EndpointChoice | undefined;
    work: WorkFigures;
    quarantineRecord: SuspectRecord | undefined;
    retryAfterMs: number | undefined;
    /** Why it ended without a complete answer of an endpoint; `undefined` if it has one. */
    incomplete: IncompleteCauseValue | undefined;
    /** Why this process closed the connection. */
    closeReason: string | undefined;
    /** Why it was not sent again. */
    noRetry: string | undefined;
    /** Time since the endpoint sent something, in milliseconds. */
    silentMs: number | undefined;
}

/** Logs and counts what becomes of one request and of its attempts. */
export class RequestRecorder {
    constructor(private readonly options: RequestRecorderOptions) {}

    recordEnd(end: RequestEnd): void {
        const { status, cause, sends, firstByteAt, choice, quarantineRecord, retryAfterMs, incomplete } = end;
        const { metrics, route, logger, head, service, account, arrivedAt, configurationVersion } = this.options;
        metrics.answers.inc({ route: route.name, status: String(status), cause });
        const stopping = this.options.isStopping();
        if (incomplete !== undefined) {
            metrics.incompleteAnswers.inc({ cause: incomplete, stopping: String(stopping) });
        }
        if (firstByteAt !== undefined) {
            metrics.firstByteSeconds.observe({ route: route.name }, (firstByteAt - arrivedAt) / 1000);
        }
        const { kind, estimatedMs, actualMs } = end.work;
        if (actualMs !== undefined && estimatedMs > 0) {
            metrics.costErrorRatio.observe({ kind }, actualMs / estimatedMs);
        }
        logger.info("request-ended", {
            requestId: head.requestId,
            route: route.name,
            service,
            account: account?.name,
            configuration: configurationVersion,
            status,
            cause,
            sends,
            firstByteMs: firstByteAt === undefined ? undefined : Math.round(firstByteAt - arrivedAt),
            predictedMs: Math.round(choice?.predictedMs ?? 0),
            candidates: choice?.candidates,
            estimatedWorkMs: Math.round(estimatedMs),
            actualWorkMs: actualMs === undefined ? undefined : Math.round(actualMs),
            limited: choice?.limited === 0 ? undefined : choice?.limited,
            ageMs: Math.round(this.options.ageMs),
            quarantined: quarantineRecord === undefined ? undefined : formatSuspect(quarantineRecord),
            crashes: quarantineRecord?.crashes.length,
            rank: choice?.share?.rank,
            admittedFraction: choice?.share?.fraction.toFixed(2),
            refusedFor: choice?.share?.reason,
            hasReturnRoom: choice?.share?.hasReturnRoom,
            retryAfterMs: retryAfterMs === undefined ? undefined : Math.round(retryAfterMs),
            totalMs: Math.round(performance.now() - arrivedAt),
            incomplete,
            closeReason: end.closeReason,
            noRetry: end.noRetry,
            silentMs: end.silentMs === undefined ? undefined : Math.round(end.silentMs),
            stopping: stopping ? true : undefined,
        });
    }

    recordAttempt(attempt: RunningAttempt, outcome: string, lastEventId: string | undefined): void {
        const { logger, head, service, metrics, tracker } = this.options;
        metrics.attempts.inc({ service, outcome: attempt.status === 0 ? "broken" : String(attempt.status) });
        const load = tracker.estimateLoad(attempt.endpoint);
        logger.info("attempt-ended", {
            requestId: head.requestId,
            endpoint: attempt.endpoint.view.id,
            outcome,
            status: attempt.status,
            running: load.running,
            waiting: load.waiting,
            reportAgeMs: Math.round(performance.now() - attempt.endpoint.view.engineReportedAt),
            sinceSentMs: Math.round(performance.now() - attempt.sent.sentAt),
            silentMs: Math.round(performance.now() - attempt.lastDataAt),
            lastEventId: lastEventId === undefined ? undefined : describeEventId(lastEventId),
            parts: head.promptParts.length === 0 ? undefined : head.promptParts.join(),
        });
    }
}
