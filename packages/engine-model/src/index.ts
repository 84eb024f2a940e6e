/** Predicts latencies of an engine from its published profile. */
export {
    computeStepMs,
    estimateAdditionMs,
    estimatePrefillMs,
    estimateServiceMs,
    type GroupLoad,
    type GroupRequest,
    isMemoryExceeded,
    type PredictedRequest,
    predictEventGapMs,
    predictFirstEventMs,
} from "./predict.js";
