/** Retry policy: whether a failed attempt may be retried, backoff and the retry budget. */
export {
    AttemptOutcome,
    type AttemptOutcomeValue,
    type BackoffOptions,
    computeBackoffMs,
    decideRetry,
    type RetryDecision,
    type RetryInput,
} from "./decideRetry.js";
export { RetryBudget, type RetryBudgetOptions } from "./retryBudget.js";
