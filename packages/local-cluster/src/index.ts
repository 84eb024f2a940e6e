/** Systems on loopback for demonstrations, tests and benchmarks, in one process or in several. */
export { allocatePorts } from "./allocatePorts.js";
export {
    buildClusterPlan,
    type ClusterPlan,
    type ClusterPlanOptions,
    DEMO_KEYS,
    DEMO_OPERATOR_KEY,
    type PlannedEndpoint,
} from "./clusterPlan.js";
export { DEMO_ENDPOINTS } from "./demoEndpoints.js";
export { LocalCluster, type LocalClusterOptions } from "./localCluster.js";
export { ProcessCluster, type ProcessClusterOptions } from "./processCluster.js";
export { publishFolder } from "./publishFolder.js";
export { type Standins, startStandins } from "./standins.js";
export { waitUntil } from "./waitUntil.js";
