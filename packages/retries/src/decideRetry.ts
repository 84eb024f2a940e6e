/** How one attempt at one endpoint ended. */
export const AttemptOutcome = {
    /** The response arrived completely. */
    Complete: "complete",
    /** The request was provably not started. */
    NotStarted: "not-started",
    /** The request may have run, and no part of a response has been sent to the client. */
    BrokenBeforeAnswer: "broken-before-answer",
    /** The attempt failed after part of the response had been sent to the client. */
    BrokenInAnswer: "broken-in-answer",
} as const;
export type AttemptOutcomeValue = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

export interface RetryInput {
    outcome: AttemptOutcomeValue;
    /** The request is idempotent, so that it may run more than once. */
    isRepeatable: boolean;
    /** Attempts made so far. */
    attempts: number;
    /** Time until the request's deadline. */
    remainingMs: number;
    /** Whether an endpoint is available that has not been tried yet. */
    hasOtherEndpoint: boolean;
    /** Takes a retry from the service's budget. Called only if all other conditions allow a retry. */
    takeRetry: () => boolean;
    random: () => number;
    maxAttempts?: number;
}

export type RetryDecision =
    | { kind: "retry"; afterMs: number }
    | {
        kind: "stop";
        reason: "done" | "may-have-run" | "partly-delivered" | "attempts" | "deadline" | "no-endpoint" | "budget";
    };

export interface BackoffOptions {
    baseMs?: number;
    maxMs?: number;
}

const DEFAULT_MAX_ATTEMPTS = 4;
const DEFAULT_BASE_MS = 10;
const DEFAULT_MAX_MS = 500;
/** Minimum time that an attempt must have left before the deadline. */
const MIN_ATTEMPT_MS = 20;

/** Decides whether a request is retried. A request that may have run is retried only if it is idempotent. */
export function decideRetry(input: RetryInput): RetryDecision {
    if (input.outcome === AttemptOutcome.Complete) {
        return { kind: "stop", reason: "done" };
    }
    if (input.outcome === AttemptOutcome.BrokenInAnswer) {
        return { kind: "stop", reason: "partly-delivered" };
    }
    if (input.outcome === AttemptOutcome.BrokenBeforeAnswer && !input.isRepeatable) {
        return { kind: "stop", reason: "may-have-run" };
    }
    if (input.attempts >= (input.maxAttempts ?? DEFAULT_MAX_ATTEMPTS)) {
        return { kind: "stop", reason: "attempts" };
    }
    if (!input.hasOtherEndpoint) {
        return { kind: "stop", reason: "no-endpoint" };
    }
    const afterMs = computeBackoffMs(input.attempts, input.random);
    if (input.remainingMs - afterMs < MIN_ATTEMPT_MS) {
        return { kind: "stop", reason: "deadline" };
    }
    return input.takeRetry() ? { kind: "retry", afterMs } : { kind: "stop", reason: "budget" };
}

/** Computes an exponential backoff with full jitter, in milliseconds. `attempt` counts from 1. */
export function computeBackoffMs(attempt: number, random: () => number, options: BackoffOptions = {}): number {
    const maxMs = Math.min(options.maxMs ?? DEFAULT_MAX_MS, (options.baseMs ?? DEFAULT_BASE_MS) * 2 ** (attempt - 1));
    return random() * maxMs;
}
