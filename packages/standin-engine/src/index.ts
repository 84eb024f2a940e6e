/** Stand-ins for a model engine and for a plain service, served over HTTP on loopback. */
export { computeAnswerText, computeAnswerTokens, STANDIN_CRASH_MARK } from "./answer.js";
export { PrefixCache } from "./prefixCache.js";
export { type EngineRequest, EngineScheduler, type SchedulerOptions } from "./scheduler.js";
export { type EngineOptions, StandinEngine } from "./standinEngine.js";
export { type PlainServiceOptions, StandinService } from "./standinService.js";
