import type { TrackedEndpoint } from "./endpointTracker.js";

/** A load that an endpoint reported is used for this long, in milliseconds. */
const REPORTED_LOAD_VALID_MS = 300;

/** Load added for an endpoint that fails every request, as a multiple of its slots. */
const FAILURE_LOAD = 3;

/**
 * Chooses the endpoint with the least expected remaining milliseconds per slot, if endpoints report their load; otherwise
 * the one with the fewest requests per slot. `requestMs` is the expected time of one request. `undefined` if `endpoints` is
 * empty.
 */
export function chooseLeastLoadedEndpoint(
    endpoints: TrackedEndpoint[],
    now: number,
    requestMs?: number,
): TrackedEndpoint | undefined {
    const isReported = endpoints.some(endpoint => endpoint.reportedLoad !== undefined);
    let best: { endpoint: TrackedEndpoint; load: number } | undefined;
    for (const endpoint of endpoints) {
        const requests = isReported && requestMs !== undefined
            ? endpoint.work.estimatePlainMs(requestMs, now) / requestMs
            : countRequests(endpoint, now);
        const load = requests / Math.max(1, endpoint.view.slots)
            + endpoint.health.getFailureScore(now) * FAILURE_LOAD + Math.random() * 1e-3;
        if (best === undefined || load < best.load) {
            best = { endpoint, load };
        }
    }
    return best?.endpoint;
}

function countRequests({ reportedLoad, inFlight }: TrackedEndpoint, now: number): number {
    const reported = reportedLoad !== undefined && now - reportedLoad.at < REPORTED_LOAD_VALID_MS
        ? reportedLoad.running + reportedLoad.waiting
        : 0;
    return Math.max(reported, inFlight.size);
}
