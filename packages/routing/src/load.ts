import type { Candidate } from "./policy.js";

/** Load of a candidate now: its late report corrected by what was sent since, never below what this entry has in flight there. */
export function estimateLoad(candidate: Candidate): number {
    return Math.max(candidate.reportedLoad + candidate.sentSinceReport, candidate.inFlight);
}
