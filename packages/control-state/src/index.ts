/** The replicated state of the control group, and the pure functions that apply commands to it. */
export { applyCommand } from "./applyCommand.js";
export { isDrainSuperseded, refuseSupersededDrain } from "./applyOperations.js";
export type { ApplyOptions, ApplyResult } from "./applyResult.js";
export { appendAuditRecord } from "./audit.js";
export { isConfigurationCommand } from "./commandKind.js";
export { compareFencing, formatFencing, isSameFencing } from "./fencing.js";
export { computeInstitutionMetrics, type InstitutionMetrics } from "./institutionMetrics.js";
export { parseKeyTime } from "./ledger.js";
export {
    EVACUATION_KEY_PREFIX,
    formatDrainKey,
    formatGroupKey,
    formatQuarantineKey,
    formatServiceKey,
    formatServiceVersion,
    formatSuspectKey,
    formatVmKey,
    getGroup,
    getService,
    getTraffic,
    getVm,
    isDataCentreEvacuated,
    isVmDraining,
    listDrains,
    listEvacuatedDataCentres,
    listGroups,
    listServices,
    listSuspects,
    listVms,
    QUARANTINE_KEY_PREFIX,
    TRAFFIC_KEY,
} from "./lookup.js";
export { decodeState, encodeState, encodeStateInSlices } from "./snapshot.js";
export { type ControlState, createControlState, type LedgerEntry, type MetricTotals } from "./state.js";
export { applyTextChange, computeTextChange } from "./textChange.js";
export { computeTrafficChanges, listTrafficEntries, type TrafficChange } from "./trafficEntries.js";
