/** Model checker: explicit-state exploration of specifications, and mutants that it must detect. */
export { listChecks, type ModelCheck } from "./checks.js";
export {
    type ExploreOptions,
    type ExploreResult,
    exploreStates,
    type Invariant,
    Specification,
    type Transition,
} from "./explore.js";
export { type ModelReport, runModel } from "./runModel.js";
