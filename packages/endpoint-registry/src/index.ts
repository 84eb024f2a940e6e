/** Merges facts about endpoints by the start times and sequence numbers in them, in any order of arrival. */
export {
    EndpointRegistry,
    type EndpointRegistryOptions,
    type EndpointView,
    FactEffect,
    type FactEffectValue,
} from "./endpointRegistry.js";
export {
    FactLimits,
    findFactFault,
    isEndpointAddress,
    isEndpointId,
    isFactName,
    isSocketAddress,
} from "./findFactFault.js";
export { findColdFault, findCrashFault, findLimitFault, findWantFault } from "./findReportFault.js";
export { isColdTimeChanged } from "./isColdTimeChanged.js";
export { pickFact } from "./pickFact.js";
