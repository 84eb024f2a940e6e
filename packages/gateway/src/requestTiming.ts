import { RequestKind, type TrafficRoute } from "@kumquathall/types";

export interface RequestTimingOptions {
    route: TrafficRoute;
    /** Monotonic time at which the request's headers arrived, in milliseconds. */
    arrivedAt: number;
    /** Estimated time between the caller's first attempt and the arrival of this request, in milliseconds. */
    ageMs: number;
    /** Time that the caller allows for the response, in milliseconds. */
    deadlineMs: number | undefined;
}

/**
 * A caller of a stream is assumed to abandon it when it receives nothing for the longest of: a minimum, a multiple of
 * the route's latency objective, a multiple of its objective for the gap between events.
 */
const MIN_PATIENCE_MS = 2000;
const PATIENCE_OBJECTIVE_FACTOR = 4;
const PATIENCE_GAP_FACTOR = 8;
/**
 * An attempt counts as stalled when nothing arrives for this long. First event of a stream: a multiple of the predicted
 * time plus one second, in which groups are repaired. Later events: a multiple of the gap objective. Response that is
 * not a stream: a multiple of the latency objective.
 */
const STALL_PREDICTION_FACTOR = 2;
const MIN_STREAM_STALL_MS = 1000;
const STALL_GAP_FACTOR = 4;
const MIN_PLAIN_STALL_MS = 300;
const STALL_OBJECTIVE_FACTOR = 2;

/** Computes the deadlines and timeouts of one request. All times are milliseconds on the monotonic clock. */
export class RequestTiming {
    /** The earlier of the caller's deadline and the route's timeout. */
    readonly deadlineAt: number;

    constructor(private readonly options: RequestTimingOptions) {
        const { route, arrivedAt, deadlineMs } = options;
        this.deadlineAt = arrivedAt + Math.min(deadlineMs ?? route.timeoutMs, route.timeoutMs);
    }

    getRemainingMs(now: number): number {
        return Math.max(0, this.deadlineAt - now);
    }

    /** Time left to send the first byte within the latency objective; negative once the objective is missed. */
    getTimeToObjectiveMs(now: number): number {
        const { route, arrivedAt, ageMs } = this.options;
        return arrivedAt + route.objectiveMs - ageMs - now;
    }

    /** Time left until the assumed abandonment if nothing arrives. `lastByteAt` is 0 before the first byte. */
    getTimeToAbandonmentMs(now: number, lastByteAt: number): number {
        const { route, arrivedAt } = this.options;
        const patienceMs = Math.max(
            MIN_PATIENCE_MS,
            PATIENCE_OBJECTIVE_FACTOR * route.objectiveMs,
            PATIENCE_GAP_FACTOR * (route.gapObjectiveMs ?? 0),
        );
        return Math.min(this.getRemainingMs(now), Math.max(arrivedAt, lastByteAt) + patienceMs - now);
    }

    /** Time after which an attempt without a first byte counts as stalled. */
    computeFirstByteTimeoutMs(predictedMs: number): number {
        const { route } = this.options;
        return route.kind === RequestKind.Streaming
            ? predictedMs * STALL_PREDICTION_FACTOR + MIN_STREAM_STALL_MS
            : Math.max(MIN_PLAIN_STALL_MS, STALL_OBJECTIVE_FACTOR * route.objectiveMs);
    }

    /** Time after which a stream without a further event counts as stalled. */
    computeStreamIdleTimeoutMs(): number {
        const { route } = this.options;
        return Math.max(MIN_STREAM_STALL_MS, STALL_GAP_FACTOR * (route.gapObjectiveMs ?? route.objectiveMs));
    }
}
