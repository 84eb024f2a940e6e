/** What became of a request, and why, from log lines alone. */
export { explainRequest, type RequestExplanation } from "./explainRequest.js";
export { type LogLine, parseLogLine } from "./parseLogLine.js";
