import {
    AttemptStage,
    type CrashedRequest,
    type CrashFact,
    QuarantineSubject,
    type SurvivalFact,
} from "@kumquathall/types";
import { type Candidate, chooseCauses } from "./chooseCauses.js";
import { formatSubjectKey, listSubjects, type Subject } from "./subject.js";

export interface CrashEvidenceOptions {
    /** Whether a subject is quarantined already. */
    isQuarantined?: (subject: Subject) => boolean;
}

/** A subject that ends the endpoints that run it. */
export interface QuarantineVerdict extends Subject {
    service: string;
    /** Endpoints that ended, oldest first. */
    crashes: string[];
}

type CandidateWithRequests = Candidate & { crashesByRequest: Map<string, number> };

/** A subject that ran at a crash. */
interface CarriedSubject {
    subject: Subject;
    /** Monotonic time of the newest send that carried it, in milliseconds. */
    sentAt: number;
    /** Fingerprints of the requests that carried it. */
    fingerprints: Set<string>;
    isStarting: boolean;
}

/** One endpoint process that ended by itself, with all requests that gateways had running on it. */
interface Crash {
    endpoint: string;
    service: string;
    /** Monotonic time of the crash, in milliseconds. */
    at: number;
    /** Monotonic time of the first report, in milliseconds. */
    reportedAt: number;
    requests: Map<string, CrashedRequest>;
    /** All subjects that its requests carry, by key, except those of requests that had been running for a while. */
    subjects: Map<string, CarriedSubject>;
}

/** Time for all gateways to report a crash and the survivals that speak against it, in milliseconds. */
const SETTLE_MS = 150;
/** A crash is forgotten after this long, in milliseconds, or when there are more newer ones than the maximum. */
const FORGET_AFTER_MS = 3_600_000;
const MAX_CRASHES = 128;
/** Requests that are kept for one crash. */
const MAX_REQUESTS = 128;
/** Subjects that are kept for one crash. */
const MAX_SUBJECTS = 512;

/**
 * Collects crashes and survivals, and decides what has caused the crashes: what ran at the most of them, and has not run
 * to its end since the first. Pure; times are monotonic milliseconds of the local process.
 */
export class CrashEvidence {
    /** By endpoint, oldest first. */
    private readonly crashes = new Map<string, Crash>();
    /** Newest survival of each subject that is in a crash. */
    private readonly survivedAt = new Map<string, number>();
    private readonly isQuarantined: (subject: Subject) => boolean;

    constructor(options: CrashEvidenceOptions = {}) {
        this.isQuarantined = options.isQuarantined ?? (() => false);
    }

    /** Merges one gateway's report of a crash; returns whether it adds anything. */
    recordCrash(fact: CrashFact, now: number): boolean {
        const crash = this.crashes.get(fact.endpoint) ?? this.addCrash(fact, now);
        let isNew = false;
        for (const request of fact.requests) {
            const isKnown = crash.requests.has(request.fingerprint);
            if (isKnown || crash.requests.size < MAX_REQUESTS) {
                crash.requests.set(request.fingerprint, request);
                recordSend(crash, request);
                isNew ||= !isKnown;
            }
        }
        return isNew;
    }

    /** Records that something that ran at a crash has run to its end elsewhere. */
    recordSurvival(fact: SurvivalFact, now: number): void {
        const key = formatSubjectKey(fact);
        if ([...this.crashes.values()].some(crash => crash.subjects.has(key))) {
            this.survivedAt.set(key, Math.max(this.survivedAt.get(key) ?? 0, now - fact.ageMs));
        }
    }

    /** Removes the crashes at which a subject ran, for example when an operator has released it from quarantine. */
    forget(subject: Subject): void {
        const key = formatSubjectKey(subject);
        for (const crash of [...this.crashes.values()].filter(item => item.subjects.has(key))) {
            this.removeCrash(crash);
        }
    }

    /** Number of stored crashes. */
    countCrashes(): number {
        return this.crashes.size;
    }

    /** Whether a crash was reported so recently that decisions do not regard it yet. */
    hasUnsettled(now: number): boolean {
        return [...this.crashes.values()].some(crash => now - crash.reportedAt < SETTLE_MS);
    }

    /** Lists the stored crashes as facts, for a process that knows none of them. */
    listFacts(now: number): CrashFact[] {
        return [...this.crashes.values()].map(crash => ({
            kind: "crash",
            endpoint: crash.endpoint,
            service: crash.service,
            reporter: "",
            ageMs: now - crash.at,
            requests: [...crash.requests.values()],
        }));
    }

    /** Decides what is to be quarantined, the best explained first. */
    decide(now: number): QuarantineVerdict[] {
        this.expire(now);
        const crashes = [...this.crashes.values()].filter(crash => now - crash.reportedAt >= SETTLE_MS);
        const verdicts: QuarantineVerdict[] = [];
        const decided = new Set<string>();
        for (;;) {
            const unexplained = crashes.filter(crash => this.listKnownCauses(crash, decided).length === 0);
            const candidates = this.listCandidates(crashes, decided);
            const causes = chooseCauses(candidates, unexplained.map(crash => crash.at));
            if (causes.length === 0) {
                return verdicts;
            }
            for (const { subject, id, crashes: caused } of causes) {
                decided.add(formatSubjectKey({ subject, id }));
                verdicts.push({
                    subject,
                    id,
                    service: caused[0].service,
                    crashes: caused.map(crash => crash.endpoint),
                });
            }
        }
    }

    /** Lists what may have caused crashes that nothing quarantined explains, and has not run to its end since. */
    private listCandidates(crashes: Crash[], decided: Set<string>): Candidate[] {
        const candidates = new Map<string, CandidateWithRequests>();
        for (const crash of crashes) {
            const causes = this.listKnownCauses(crash, decided);
            for (const [key, { subject, sentAt, fingerprints, isStarting }] of listSuspects(crash)) {
                const survivedAt = this.survivedAt.get(key);
                const hasSurvived = survivedAt !== undefined;
                const isExplained = causes.some(cause => isExplainedBy(crash, cause, subject, hasSurvived));
                if (isExplained || (hasSurvived && crash.at <= survivedAt)) {
                    continue;
                }
                const candidate: CandidateWithRequests = candidates.get(key) ?? {
                    ...subject,
                    crashes: [],
                    crashesByRequest: new Map(),
                    crashesOfOneRequest: 0,
                    hasSurvived,
                };
                candidates.set(key, candidate);
                const { endpoint, service, at } = crash;
                candidate.crashes.push({ endpoint, service, at, sentAt, isStarting });
                for (const fingerprint of fingerprints) {
                    const count = (candidate.crashesByRequest.get(fingerprint) ?? 0) + 1;
                    candidate.crashesByRequest.set(fingerprint, count);
                    candidate.crashesOfOneRequest = Math.max(candidate.crashesOfOneRequest, count);
                }
            }
        }
        return [...candidates.values()];
    }

    /** Lists what is quarantined, or about to be, and ran at a crash. */
    private listKnownCauses(crash: Crash, decided: Set<string>): Subject[] {
        return listSuspects(crash).flatMap(([key, { subject }]) =>
            decided.has(key) || this.isQuarantined(subject) ? subject : []
        );
    }

    private addCrash(fact: CrashFact, now: number): Crash {
        const crash: Crash = {
            endpoint: fact.endpoint,
            service: fact.service,
            at: now - fact.ageMs,
            reportedAt: now,
            requests: new Map(),
            subjects: new Map(),
        };
        this.crashes.set(fact.endpoint, crash);
        const oldest = this.crashes.values().next().value;
        if (this.crashes.size > MAX_CRASHES && oldest !== undefined) {
            this.removeCrash(oldest);
        }
        return crash;
    }

    private removeCrash(crash: Crash): void {
        this.crashes.delete(crash.endpoint);
        const remaining = [...this.crashes.values()];
        for (const key of crash.subjects.keys()) {
            if (this.survivedAt.has(key) && !remaining.some(item => item.subjects.has(key))) {
                this.survivedAt.delete(key);
            }
        }
    }

    private expire(now: number): void {
        for (const crash of [...this.crashes.values()].filter(item => now - item.at > FORGET_AFTER_MS)) {
            this.removeCrash(crash);
        }
    }
}

/**
 * Whether a quarantined subject explains why another ran at a crash. A request says nothing about what itself carries, nor
 * about a prompt part that never survived: requests that ran beside such a part may have been quarantined for it.
 */
function isExplainedBy(crash: Crash, cause: Subject, suspect: Subject, hasSurvived: boolean): boolean {
    if (cause.subject === QuarantineSubject.PromptPart || suspect.subject === QuarantineSubject.Request) {
        return true;
    }
    const carried = crash.requests.get(cause.id)?.parts ?? [];
    return hasSurvived && !carried.includes(suspect.id);
}

/** Lists what may have caused a crash: what had just begun, or else everything that may have. */
function listSuspects(crash: Crash): [string, CarriedSubject][] {
    const all = [...crash.subjects];
    const starting = all.filter(([, carried]) => carried.isStarting);
    return starting.length > 0 ? starting : all;
}

function recordSend(crash: Crash, request: CrashedRequest): void {
    if (request.stage === AttemptStage.Running) {
        return;
    }
    const sentAt = crash.at - request.sentBeforeMs;
    for (const subject of listSubjects(request)) {
        const key = formatSubjectKey(subject);
        const carried = crash.subjects.get(key) ?? {
            subject,
            sentAt,
            fingerprints: new Set<string>(),
            isStarting: false,
        };
        carried.isStarting ||= request.stage === AttemptStage.Starting;
        carried.sentAt = Math.max(carried.sentAt, sentAt);
        carried.fingerprints.add(request.fingerprint);
        if (crash.subjects.size < MAX_SUBJECTS) {
            crash.subjects.set(key, carried);
        }
    }
}
