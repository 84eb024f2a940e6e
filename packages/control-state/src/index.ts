/** The replicated state of the control group as pure functions. */
export { applyCommand } from "./applyCommand.js";
export type { ApplyOptions, ApplyResult } from "./applyResult.js";
export { auditChange } from "./audit.js";
export { isConfigurationCommand } from "./commandKind.js";
export { compareFencing, formatFencing, isSameFencing } from "./fencing.js";
export { parseKeyTime } from "./ledger.js";
export {
    formatDrainKey,
    formatGroupKey,
    formatServiceKey,
    formatServiceVersion,
    formatSuspectKey,
    formatVmKey,
    getGroup,
    getService,
    getTraffic,
    getVm,
    isVmDraining,
    listDrains,
    listGroups,
    listServices,
    listSuspects,
    listVms,
} from "./lookup.js";
export { buildStatusMeasures, type InstitutionMeasure } from "./measures.js";
export { decodeState, encodeState, encodeStateInSlices } from "./snapshot.js";
export { type ControlState, createControlState, type LedgerEntry, type MeasureState } from "./state.js";
