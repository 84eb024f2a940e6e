/** How one attempt at one endpoint ended. */
export const AttemptOutcome = {
    /** The whole answer arrived. */
    Complete: "complete",
    /** Provably not started. */
    NotStarted: "not-started",
    /** May have started, and no part of the answer was given to the caller. */
    BrokenBeforeAnswer: "broken-before-answer",
    /** Broke after part of the answer was given to the caller. */
    BrokenInAnswer: "broken-in-answer",
} as const;
export type AttemptOutcomeValue = (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

export interface RetryInput {
    outcome: AttemptOutcomeValue;
    isRepeatable: boolean;
    /** Attempts made so far. */
    attempts: number;
    remainingMs: number;
    /** Whether another endpoint than those tried is available. */
    hasOtherEndpoint: boolean;
    /** Takes a retry out of the service's budget. Called only when everything else allows a retry. */
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
/** An attempt that cannot have this much time is not worth making, in milliseconds. */
const MIN_ATTEMPT_MS = 20;

/** Decides whether a request is sent again. A request that may have run is repeated only if it is idempotent. */
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

/** Exponential backoff with full jitter, in milliseconds. */
export function computeBackoffMs(attempt: number, random: () => number, options: BackoffOptions = {}): number {
    const ceiling = Math.min(options.maxMs ?? DEFAULT_MAX_MS, (options.baseMs ?? DEFAULT_BASE_MS) * 2 ** (attempt - 1));
    return random() * ceiling;
}
