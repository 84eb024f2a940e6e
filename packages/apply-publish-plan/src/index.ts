/** Applies an assembled publish plan. */
export { applyPublishPlan, PublishClient, PublishError, type StepOutcome } from "./applyPublishPlan.js";
