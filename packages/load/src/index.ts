/** Open-loop load and experiment tool. */
export { LatencyRecorder } from "./latency.js";
export { type LatencySummary, type LoadOptions, type LoadResult, runLoad } from "./runLoad.js";
export { runLoadInWorkers, type WorkerLoadOptions } from "./runLoadInWorkers.js";
export { findSaturation, type SaturationOptions } from "./saturation.js";
export { buildWorkload, createRandom, type PlannedRequest, type WorkloadOptions } from "./workload.js";
