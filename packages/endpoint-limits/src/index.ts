/** Limits that endpoints put on their requests: what is in force, and who may send next. */
export { LimitArbiter } from "./limitArbiter.js";
export { type EndpointLimit, LimitBoard } from "./limitBoard.js";
