/** Plans replica groups as a pure function from the control state to commands to propose. */
export { FirstFitObjective } from "./firstFitObjective.js";
export { DowntimeObjective, type Objective, selectObjective, StrandedObjective } from "./objective.js";
export { planGroups, type PlannerInput, type PlannerOptions } from "./planGroups.js";
