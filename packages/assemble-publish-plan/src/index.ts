/** Assembles a publish plan as plain data. */
export {
    assemblePublishPlan,
    describeChanges,
    PlanAction,
    type PlanActionValue,
    type PublishPlan,
    type PublishStep,
} from "./assemblePublishPlan.js";
