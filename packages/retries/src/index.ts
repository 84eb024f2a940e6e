/** When a request may be sent again. */
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
