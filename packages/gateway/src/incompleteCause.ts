/** Why a request ended without a complete answer. */
export const IncompleteCause = {
    /** The caller closed its connection, or it was lost on the way. */
    CallerLeft: "caller-left",
    /** This process closed the caller's connection. */
    ClosedHere: "closed-here",
    /** The caller reads more slowly than the endpoint sends. */
    CallerBehind: "caller-behind",
    /** The endpoint sent nothing for longer than is usual. */
    EndpointSilent: "endpoint-silent",
    /** The endpoint's response ended too soon or can't be used. */
    EndpointBroke: "endpoint-broke",
    /** Control reported that the endpoint or its group is lost. */
    EndpointLost: "endpoint-lost",
    /** The caller's deadline or the route's timeout passed. */
    Deadline: "deadline",
    /** The gateway stopped and had no time left. */
    StopEnded: "stop-ended",
} as const;
export type IncompleteCauseValue = (typeof IncompleteCause)[keyof typeof IncompleteCause];
