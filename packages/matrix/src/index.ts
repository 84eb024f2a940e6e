/** Fault matrix. */
export { listCells } from "./cells.js";
export { renderFaultsPage } from "./faultsPage.js";
export type { CellResult, MatrixCell } from "./matrixCell.js";
export { runInVirtualTime, type VirtualTime } from "./virtualTime.js";
