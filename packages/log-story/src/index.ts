/** What became of a request, and why, from log lines alone. */
export { collectStory, type RequestStory } from "./collectStory.js";
export { type LogLine, parseLogLine } from "./parseLogLine.js";
