/** Decides which requests get the capacity of a model's groups under overload, and when refused ones return. */
export {
    CapacitySharing,
    MIN_RETURN_MS,
    type ReturnInput,
    type ScheduledReturns,
    type SharedRequest,
    type SharingDecision,
    type SharingState,
} from "./capacitySharing.js";
export { type AdmissionInput, decideAdmission, SharingRefusal, type SharingRefusalValue } from "./decideAdmission.js";
export { type AccountWork, computeFractions, type RankFractions, type RankWork } from "./fractions.js";
export {
    type AdmittedShare,
    type DemandTotal,
    type OfferedRequest,
    RankedAdmission,
    type RankedAdmissionOptions,
} from "./rankedAdmission.js";
export { INTERVAL_MS, type ReturnRequest, ReturnSchedule } from "./returnSchedule.js";
