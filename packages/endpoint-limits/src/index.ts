/** Limits that endpoints put on their requests: what is in force, and who may send next. */
export { ColdBoard } from "./coldBoard.js";
export { LimitArbiter } from "./limitArbiter.js";
export { type EndpointLimit, LimitBoard } from "./limitBoard.js";
export { SendWindow } from "./sendWindow.js";
