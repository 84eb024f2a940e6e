/** HTTP gateway that accepts callers' requests and forwards them to endpoints over HTTP. */
export {
    chooseReplicaGroup,
    type ReplicaGroupCandidate,
    type ReplicaGroupChoice,
    type ReplicaGroupChoiceInput,
} from "./chooseReplicaGroup.js";
export {
    type ColdBounds,
    ColdEndpoints,
    type ColdEndpointsOptions,
    type ColdView,
    DEFAULT_COLD_BOUNDS,
} from "./coldEndpoints.js";
export { CrashReporter, type EndpointCrash } from "./crashReporter.js";
export { EndpointLimits, type EndpointLimitsOptions, type LimitResponse } from "./endpointLimits.js";
export { EndpointTracker, type EndpointTrackerOptions, type TrackedEndpoint } from "./endpointTracker.js";
export type { EvacuationChange } from "./evacuations.js";
export { parseEventId } from "./eventId.js";
export { EventStreamParser } from "./eventStreamParser.js";
export { GatewayRole, type GatewaySettings } from "./gatewayRole.js";
export { type ForwardHeaderValues, HttpHeaderCodec, type RequestHead, type ResponseHead } from "./httpHeaderCodec.js";
export { PermitClient } from "./permitClient.js";
export { chooseTarget, RouteTable } from "./routeTable.js";
export { TrafficConfigurationReader } from "./trafficConfigurationReader.js";
