/** Fault matrix. */
export { type CellResult, listCells, type MatrixCell } from "./cells.js";
export { renderFaultsPage } from "./faultsPage.js";
export { runInVirtualTime, type VirtualTime } from "./virtualTime.js";
