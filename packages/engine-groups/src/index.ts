/** Derives replica groups from engines' reports and plans the orders that form and repair them. */
export { formatGroupName, type GroupName, parseGroupName } from "./groupName.js";
export { type EngineGroup, formatGroupKey, listEngineGroups } from "./listGroups.js";
export { LoadBudget, type LoadBudgetOptions } from "./loadBudget.js";
export type { OrderPlanInput, PlannedOrder } from "./orderPlanInput.js";
export { OrderTracker } from "./orderTracker.js";
export { planEngineOrders } from "./planOrders.js";
export { RebalanceHistory } from "./rebalanceHistory.js";
export {
    type FleetSettlingInput,
    hasCompleteView,
    hasGroupFormedBefore,
    isFleetSettled,
    isPartitionWindowOver,
    type ViewCompletenessInput,
} from "./settling.js";
export { isDemandDriven, type ShareSelection, type ShareSelectionInput, ShareSelector } from "./shareSelector.js";
