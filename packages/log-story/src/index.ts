/** Explains from log lines alone how a request ended and why. */
export { explainRequest, type RequestExplanation } from "./explainRequest.js";
export { listQuarantined } from "./listQuarantined.js";
export { type LogLine, parseLogLine } from "./parseLogLine.js";
