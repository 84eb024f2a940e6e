/** Outcome of a request, stated in every answer to a caller. */
export const Outcome = {
    /** The whole answer was delivered. */
    Complete: "complete",
    /** The request was not run and will not be. */
    NotRun: "not-run",
    /** The request may or may not have run. */
    Unknown: "unknown",
} as const;
export type OutcomeValue = (typeof Outcome)[keyof typeof Outcome];
