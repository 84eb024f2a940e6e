/** Reports of what ran on endpoints whose process ended, and what is quarantined because of them. */

/** What a quarantine applies to. */
export const QuarantineSubject = {
    /** A request, identified by the digest of its account, method, path and body. */
    Request: "request",
} as const;
export type QuarantineSubjectValue = (typeof QuarantineSubject)[keyof typeof QuarantineSubject];

/** What a request has in common with others that may end endpoints as it does. */
export interface RequestTraits {
    /** Digest of the request's account, method, path and body; a request that is sent again has the same digest. */
    fingerprint: string;
}

/** A request whose attempt ended with the process of its endpoint. */
export interface CrashedRequest extends RequestTraits {
    /** Time from the send of the attempt to the crash, in milliseconds. */
    sentBeforeMs: number;
}

/** What one gateway had running on an endpoint whose process ended by itself. */
export interface CrashFact {
    kind: "crash";
    /** The incarnation that ended, as its id and start time. */
    endpoint: string;
    service: string;
    reporter: string;
    /** Time from the crash to this report, in milliseconds. */
    ageMs: number;
    requests: CrashedRequest[];
}

/** A request of a kind that ran at crashes has run to its end, so that it is not what ends endpoints. */
export interface SurvivalFact {
    kind: "survival";
    subject: QuarantineSubjectValue;
    id: string;
    /** Time from the request's end to this report, in milliseconds. */
    ageMs: number;
}

export type CrashEvidenceFact = CrashFact | SurvivalFact;
