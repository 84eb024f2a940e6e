import { KumquathallError } from "./kumquathallError.js";

/** Stable codes of refusals. docs/CALLERS.md states what a caller may do after each. */
export const ProblemCode = {
    BadRequest: "bad-request",
    Unauthorized: "unauthorized",
    Forbidden: "forbidden",
    UnknownService: "unknown-service",
    UnknownModel: "unknown-model",
    BodyTooLarge: "body-too-large",
    RequestTimeout: "request-timeout",
    KeyMissing: "idempotency-key-missing",
    KeyReused: "idempotency-key-reused",
    KeyExpired: "idempotency-key-expired",
    OutcomeUnknown: "outcome-unknown",
    AnswerNotRetained: "answer-not-retained",
    Quarantined: "quarantined",
    NoCapacity: "no-capacity",
    RateLimited: "rate-limited",
    DeadlineTooShort: "deadline-too-short",
    DeadlineExceeded: "deadline-exceeded",
    NotReady: "not-ready",
    Stopping: "stopping",
    StaleRoute: "stale-route",
    EngineFailed: "engine-failed",
    AnswerBroken: "answer-broken",
    Cancelled: "cancelled",
    VersionConflict: "version-conflict",
    InvalidChange: "invalid-change",
    NotFound: "not-found",
    NoLeader: "no-leader",
    Internal: "internal",
} as const;

/** One of {@link ProblemCode}. */
export type ProblemCodeValue = (typeof ProblemCode)[keyof typeof ProblemCode];

/** A refusal that is returned to a caller or operator, with the stable code of its cause. */
export class RefusalError extends KumquathallError {
    readonly code: ProblemCodeValue;
    /** Delay after which a new attempt may succeed, in milliseconds; `undefined` if waiting does not help. */
    readonly retryAfterMs: number | undefined;

    constructor(code: ProblemCodeValue, message: string, retryAfterMs?: number) {
        super(message);
        this.code = code;
        this.retryAfterMs = retryAfterMs;
    }
}
