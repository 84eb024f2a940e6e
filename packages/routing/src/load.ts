import type { Candidate } from "./policy.js";

/**
 * Estimates a candidate's current load: its delayed report plus the requests sent since, and at least the requests that
 * this entry has in flight there.
 */
export function estimateLoad(candidate: Candidate): number {
    return Math.max(candidate.reportedLoad + candidate.sentSinceReport, candidate.inFlight);
}
