/** Estimates what requests cost, and the work that endpoints still have to do. */
export {
    computeSpreadMs,
    EndpointWork,
    type GroupWork,
    type LoadReport,
    type RemainingRequest,
} from "./endpointWork.js";
export { computeMean, computeRemaining, type LogNormal } from "./logNormal.js";
export {
    type GenerationCost,
    type GenerationTraits,
    type PlainCost,
    type PlainTraits,
    RequestCostEstimator,
    type TypicalRequest,
    type UsualTokens,
} from "./requestCostEstimator.js";
