/** Assembles the plan of a publish, as plain data. */
export {
    assemblePublishPlan,
    describeChanges,
    PlanAction,
    type PlanActionValue,
    type PublishPlan,
    type PublishStep,
} from "./assemblePublishPlan.js";
