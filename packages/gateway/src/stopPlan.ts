/** Phases of a gateway's stop, in milliseconds after the stop signal. */
export interface StopPlan {
    /** All requests are accepted until then, because the load balancer still sends new connections. */
    acceptAllUntilMs: number;
    /** Requests still in flight get their final answer then. */
    endMs: number;
    /** Answers that have not left the process by then are lost. */
    closeMs: number;
}

/** Time until the load balancer stops sending, in milliseconds: it checks once a second and needs two failures. */
const OUT_OF_ROTATION_MS = 2500;
/** Fraction of the stop time that is reserved for final answers and for closing. */
const CLOSING_FRACTION = 1 / 6;
/** Fraction of the stop time in which the process ends. */
const ENDING_FRACTION = 1 / 16;

/** Plans a stop that must be complete within `stopWithinMs`. */
export function planStop(stopWithinMs: number): StopPlan {
    const endMs = stopWithinMs * (1 - CLOSING_FRACTION);
    return {
        acceptAllUntilMs: Math.min(OUT_OF_ROTATION_MS, endMs),
        endMs,
        closeMs: stopWithinMs * (1 - ENDING_FRACTION),
    };
}

/**
 * Whether a request that arrives after the stop signal is accepted. A request that might not finish in time is refused
 * without being run, so that its caller can still retry at another gateway.
 */
export function canAcceptWhileStopping(plan: StopPlan, sinceStopMs: number, maxDurationMs: number): boolean {
    return sinceStopMs <= plan.acceptAllUntilMs || sinceStopMs + maxDurationMs <= plan.endMs;
}
