/** Exit codes of the command line. */
export const ExitCode = {
    Done: 0,
    /** Something failed: no answer, or an error inside the system. */
    Failed: 1,
    /** The files or arguments that were given are not valid. */
    Invalid: 2,
    /** The system refused a change. */
    Refused: 3,
} as const;
