/** Exit codes of the command line. */
export const ExitCode = {
    Done: 0,
    /** The command failed, for example because no entry answered, the system reported an error or a check failed. */
    Failed: 1,
    /** The given files or arguments are not valid. */
    Invalid: 2,
    /** The system refused a change. */
    Refused: 3,
} as const;
