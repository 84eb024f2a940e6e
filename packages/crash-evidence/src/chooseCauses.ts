import { QuarantineSubject, type QuarantineSubjectValue } from "@kumquathall/types";
import type { Subject } from "./subject.js";

/** A crash at which a subject ran, and when the newest request that carried it was sent there. */
export interface CrashOfCandidate {
    endpoint: string;
    service: string;
    /** Monotonic times in milliseconds. */
    at: number;
    sentAt: number;
    /** Its response had just begun. */
    isStarting: boolean;
}

/** A subject with the crashes that it may have caused. */
export interface Candidate extends Subject {
    crashes: CrashOfCandidate[];
    /** Largest number of these crashes at which one and the same request carried it. */
    crashesOfOneRequest: number;
    /** Something that carries it has run to its end, though not since these crashes. */
    hasSurvived: boolean;
}

interface CountedCandidate extends Candidate {
    endpoints: Set<string>;
    /** Number of independent crashes, of those at which its response had just begun, and their fraction of all crashes. */
    count: number;
    startingCount: number;
    coverage: number;
}

/** Crashes after which a subject is quarantined, if they tell it from all others. */
const CRASHES_TO_QUARANTINE = { [QuarantineSubject.Request]: 3, [QuarantineSubject.PromptPart]: 5 };
/** Crashes after which a subject is quarantined though another ran at the same crashes, or other crashes came between. */
const CRASHES_TO_QUARANTINE_UNCLEAR = { [QuarantineSubject.Request]: 5, [QuarantineSubject.PromptPart]: 8 };
/**
 * Unless its requests had just begun at each of them, a subject must have run at this fraction of all crashes from this
 * long before its first one, in milliseconds, to its last: where endpoints end anyway, some requests are always there.
 */
const MIN_COVERAGE = 0.5;
const LOOK_BACK_MS = 5000;
/**
 * A loss of a rack ends many endpoints at once or in turn, each of which may be running the same subject. Crashes within
 * this time, in milliseconds, count once if nothing with the subject was sent between them. Copies of one request run to
 * their ends without being noticed before; prompt parts that do so are known to have survived.
 */
const COMMON_CAUSE_MS = { [QuarantineSubject.Request]: 1000, [QuarantineSubject.PromptPart]: 50 };
/** Times in reports are compared with this tolerance, in milliseconds. */
const TOLERANCE_MS = 20;
/** A prompt part is suspected only if no single request that carries it ran at more than this fraction of its crashes. */
const MAX_FRACTION_OF_REQUEST = 0.75;
/** Two candidates are rivals if one ran at this fraction of the other's crashes. */
const RIVAL_FRACTION = 0.5;

/**
 * Chooses the candidates that have caused their crashes, if no rival could be the cause: prompt parts first, since they
 * explain the crashes of the requests that carry them or ran beside them, then the requests with the most crashes.
 * `crashTimes` are the times of all crashes that nothing quarantined explains.
 */
export function chooseCauses(candidates: Candidate[], crashTimes: number[]): Candidate[] {
    const endpointsOfNewParts = listEndpointsOfNewParts(candidates);
    const counted = candidates.map(candidate => {
        // What has run to its end before is the cause only of crashes at which no newly suspected part ran.
        const crashes = candidate.hasSurvived
            ? candidate.crashes.filter(crash => !endpointsOfNewParts.has(crash.endpoint))
            : candidate.crashes;
        return countCrashes({ ...candidate, crashes }, crashTimes);
    });
    const causes = counted.filter(candidate => isCause(candidate, counted));
    const parts = causes.filter(candidate => candidate.subject === QuarantineSubject.PromptPart);
    if (parts.length > 0) {
        return parts;
    }
    const most = causes.reduce((max, candidate) => Math.max(max, candidate.count), 0);
    return causes.filter(candidate => candidate.count === most);
}

function countCrashes(candidate: Candidate, crashTimes: number[]): CountedCandidate {
    const { crashes, subject } = candidate;
    const times = crashes.map(crash => crash.at);
    const from = Math.min(...times) - LOOK_BACK_MS;
    const to = Math.max(...times);
    const meanwhile = crashTimes.filter(at => at >= from && at <= to).length;
    return {
        ...candidate,
        endpoints: listEndpoints(crashes),
        count: countIndependent(crashes, subject),
        startingCount: countIndependent(crashes.filter(crash => crash.isStarting), subject),
        coverage: meanwhile === 0 ? 0 : crashes.length / meanwhile,
    };
}

/** Lists the endpoints that ended while they ran requests with a prompt part that never survived, seen at two or more. */
function listEndpointsOfNewParts(candidates: Candidate[]): Set<string> {
    const newParts = candidates.filter(candidate =>
        candidate.subject === QuarantineSubject.PromptPart && !candidate.hasSurvived
        && !isExplainedByRequest(candidate) && candidate.crashes.length > 1
    );
    return listEndpoints(newParts.flatMap(candidate => candidate.crashes));
}

function listEndpoints(crashes: CrashOfCandidate[]): Set<string> {
    return new Set(crashes.map(crash => crash.endpoint));
}

function isCause(candidate: CountedCandidate, others: CountedCandidate[]): boolean {
    const { subject, count, startingCount, coverage } = candidate;
    if (count < CRASHES_TO_QUARANTINE[subject] || isExplainedByRequest(candidate)) {
        return false;
    }
    const rivals = others.filter(other => other !== candidate && isRival(other, candidate));
    const hasOftenBegun = subject === QuarantineSubject.PromptPart && startingCount >= CRASHES_TO_QUARANTINE[subject];
    const isClear = hasOftenBegun || coverage >= MIN_COVERAGE;
    if (rivals.length === 0 && isClear) {
        return true;
    }
    return count >= CRASHES_TO_QUARANTINE_UNCLEAR[subject] && rivals.every(rival => rival.count <= count);
}

/** Whether a single request carried a prompt part at most of its crashes: that request may be the cause by itself. */
function isExplainedByRequest({ subject, crashes, crashesOfOneRequest }: Candidate): boolean {
    return subject === QuarantineSubject.PromptPart && crashesOfOneRequest > crashes.length * MAX_FRACTION_OF_REQUEST;
}

/**
 * Whether another subject could have caused the crashes of a candidate just as well. A prompt part is also the rival of a
 * request that ran at more crashes: requests that run beside such a part are sent again, and run beside it again.
 */
function isRival(other: CountedCandidate, candidate: CountedCandidate): boolean {
    if (isExplainedByRequest(other) || (other.hasSurvived && !candidate.hasSurvived)) {
        return false;
    }
    const isPartOfOthers = candidate.subject === QuarantineSubject.Request
        && other.subject === QuarantineSubject.PromptPart && other.count > 1;
    if (other.count < candidate.count && !isPartOfOthers) {
        return false;
    }
    const shared = [...candidate.endpoints].filter(endpoint => other.endpoints.has(endpoint)).length;
    return shared >= candidate.endpoints.size * RIVAL_FRACTION;
}

/**
 * Counts crashes, those that may have a common cause once. A prompt part whose requests had just begun at each of them has
 * no other cause in common: endpoints that start together get, and begin to run, their first requests together.
 */
function countIndependent(crashes: CrashOfCandidate[], subject: QuarantineSubjectValue): number {
    let count = 0;
    let countedAt = Number.NEGATIVE_INFINITY;
    for (const { at, sentAt, isStarting } of [...crashes].sort((left, right) => left.at - right.at)) {
        const isIndependent = sentAt > countedAt - TOLERANCE_MS || at - countedAt > COMMON_CAUSE_MS[subject]
            || (isStarting && subject === QuarantineSubject.PromptPart);
        if (isIndependent) {
            count++;
            countedAt = at;
        }
    }
    return count;
}
