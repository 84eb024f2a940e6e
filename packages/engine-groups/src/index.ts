/** Which engines form which replica groups, and the orders that bring them there. */
export { formatGroupName, type GroupName, parseGroupName } from "./groupName.js";
export { type EngineGroup, listEngineGroups } from "./listGroups.js";
export { LoadBudget, type LoadBudgetOptions } from "./loadBudget.js";
export { planEngineOrders, type OrderPlanInput, type PlannedOrder } from "./planOrders.js";
