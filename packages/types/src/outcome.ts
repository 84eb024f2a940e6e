/** What every answer to a caller says about its request. */
export const Outcome = {
    /** The whole answer was delivered. */
    Complete: "complete",
    /** The request was not run and will not be. */
    NotRun: "not-run",
    /** The request may have run; nobody can tell. */
    Unknown: "unknown",
} as const;
export type OutcomeValue = (typeof Outcome)[keyof typeof Outcome];
