/** Reports of what ran on endpoints whose process ended, and what is quarantined because of them. */

/** What a quarantine applies to. */
export const QuarantineSubject = {
    /** A request, identified by the digest of its account, method, path and body. */
    Request: "request",
    /** A part of the prompt that many requests share. */
    PromptPart: "prompt-part",
} as const;
export type QuarantineSubjectValue = (typeof QuarantineSubject)[keyof typeof QuarantineSubject];

/** What a request has in common with others that may end endpoints as it does. */
export interface RequestTraits {
    /** Digest of the request's account, method, path and body; a request that is sent again has the same digest. */
    fingerprint: string;
    /** Ids of the prompt parts that it shares with other requests. */
    parts: string[];
}

/** How far an attempt had come when its endpoint's process ended. */
export const AttemptStage = {
    /** The response had begun, and its content at most just before. */
    Starting: "starting",
    /** No response had begun, or it can't be told how far the request had come. */
    Unknown: "unknown",
    /** Content had been arriving for a while, so that the endpoint has survived the begin of this request. */
    Running: "running",
} as const;
export type AttemptStageValue = (typeof AttemptStage)[keyof typeof AttemptStage];

/** A request whose attempt ended with the process of its endpoint. */
export interface CrashedRequest extends RequestTraits {
    stage: AttemptStageValue;
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
