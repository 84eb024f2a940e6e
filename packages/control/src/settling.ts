import type { EndpointView } from "@kumquathall/endpoint-registry";

export interface FleetSettlingInput {
    /** Endpoints of one engine service. */
    views: EndpointView[];
    now: number;
    /** When the first endpoint appeared; `undefined` before that. */
    firstSeenAt: number | undefined;
    /** When the most recent endpoint appeared. */
    newestFirstSeenAt: number;
}

/** Time without a new endpoint before groups form, in milliseconds: far above the gaps in a simultaneous start. */
const QUIET_MS = 300;
/** Longest wait for endpoints and their sidecars, in milliseconds: two heartbeats and the first connection attempts. */
const MAX_WAIT_MS = 3000;

/**
 * Whether all endpoints that a plan may use have appeared, as far as can be known. Groups formed of the first endpoints
 * would take those that larger groups need, and an endpoint whose sidecar has not linked yet cannot receive orders.
 */
export function isFleetSettled(input: FleetSettlingInput): boolean {
    const { firstSeenAt, now } = input;
    if (firstSeenAt === undefined) {
        return false;
    }
    const isQuiet = now - input.newestFirstSeenAt > QUIET_MS;
    const isObserved = input.views.every(view => view.isLost || view.isObserved);
    return (isQuiet && isObserved) || now - firstSeenAt > MAX_WAIT_MS;
}
