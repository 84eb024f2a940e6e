/** Fault matrix: every fault injected at every step of a publish, an order and a streamed request. */
export { listCells } from "./cells.js";
export {
    buildSimulatedTraffic,
    type Delivery,
    DeliverySimulation,
    type DeliverySimulationOptions,
} from "./deliverySimulation.js";
export { renderFaultsPage } from "./faultsPage.js";
export type { CellResult, MatrixCell } from "./matrixCell.js";
export { createRandom } from "./random.js";
export { createSimulatedVm, openSimulatedConnection, type SimulatedVm } from "./simulatedNetwork.js";
export { FAKED_TIMERS, runInVirtualTime, type VirtualTime } from "./virtualTime.js";
