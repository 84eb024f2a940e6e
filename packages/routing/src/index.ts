/** Routing policies, which register themselves by name, and the cache and latency state that they use. */
export { estimateLoad } from "./load.js";
export {
    type Candidate,
    createRoutingPolicy,
    listRoutingPolicies,
    registerRoutingPolicy,
    RoutingPolicy,
    type RoutingRequest,
} from "./policy.js";
export { computePrefixHashes, PREFIX_BLOCK_CHARACTERS } from "./prefix.js";
import "./plainPolicies.js";
import "./affinityPolicy.js";
export { PrefixAffinityPolicy } from "./affinityPolicy.js";
export { PrefixCacheView } from "./cacheView.js";
export { StragglerDetector, type StragglerOptions } from "./straggler.js";
