import type { TrackedEndpoint } from "./endpointTracker.js";

/** A load that an endpoint reported is used for this long, in milliseconds. */
const REPORTED_LOAD_VALID_MS = 300;

/** Load added for an endpoint that fails every request, as a multiple of its slots. */
const FAILURE_LOAD = 3;

/** Chooses the endpoint with the least load per slot; `undefined` if `endpoints` is empty. */
export function chooseLeastLoadedEndpoint(endpoints: TrackedEndpoint[], now: number): TrackedEndpoint | undefined {
    let best: { endpoint: TrackedEndpoint; load: number } | undefined;
    for (const endpoint of endpoints) {
        const reported = endpoint.reportedLoad !== undefined && now - endpoint.reportedLoad.at < REPORTED_LOAD_VALID_MS
            ? endpoint.reportedLoad.running + endpoint.reportedLoad.waiting
            : 0;
        const load = Math.max(reported, endpoint.inFlight.size) / Math.max(1, endpoint.view.slots)
            + endpoint.health.getFailureScore(now) * FAILURE_LOAD + Math.random() * 1e-3;
        if (best === undefined || load < best.load) {
            best = { endpoint, load };
        }
    }
    return best?.endpoint;
}
