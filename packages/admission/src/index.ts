/** Admission control: decides which requests run now, which wait and which are refused. */
export { AdaptiveLimit, type AdaptiveLimitOptions } from "./adaptiveLimit.js";
export {
    type AdmissionDecision,
    AdmissionQueue,
    type AdmissionQueueOptions,
    type AdmissionTicket,
    type AdmissionWaiter,
} from "./admissionQueue.js";
export { FairQueue, type FairQueueItem } from "./fairQueue.js";
export { allotShares, type ShareDemand, type ShareGrant } from "./shares.js";
export { TokenBucket, type TokenBucketOptions } from "./tokenBucket.js";
