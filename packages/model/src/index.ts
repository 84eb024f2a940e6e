/** Explorer, specifications and mutants. */
export { listChecks, type ModelCheck } from "./checks.js";
export {
    type ExploreOptions,
    type ExploreResult,
    exploreStates,
    type Invariant,
    type Move,
    Specification,
} from "./explore.js";
export { type ModelReport, runModel } from "./runModel.js";
