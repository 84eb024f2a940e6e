/** Measures the work that callers offer, at gateways, and merges the figures at control. */
export { DemandBoard } from "./demandBoard.js";
export { DemandMeter, type OfferedRequest } from "./demandMeter.js";
export { DemandTotals } from "./demandTotals.js";
