/** Predicts latencies of an engine from its published profile. */
export { computeStepMs, estimatePrefillMs, estimateServiceMs, type GroupLoad, predictFirstEventMs } from "./predict.js";
