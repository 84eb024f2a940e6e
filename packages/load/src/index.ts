/** Open-loop load generator and closed-loop throughput measurement. */
export { type ClosedLoopOptions, measureClosedLoopThroughput } from "./closedLoop.js";
export { LatencyRecorder } from "./latency.js";
export { type LatencySummary, type LoadOptions, type LoadResult, runLoad } from "./runLoad.js";
export { runLoadInWorkers, type WorkerLoadOptions } from "./runLoadInWorkers.js";
export { buildWorkload, createRandom, type PlannedRequest, type WorkloadOptions } from "./workload.js";
