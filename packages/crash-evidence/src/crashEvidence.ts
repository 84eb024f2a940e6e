import type { CrashedRequest, CrashFact, SurvivalFact } from "@kumquathall/types";
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

/** One endpoint process that ended by itself, with all requests that gateways had running on it. */
interface Crash {
    endpoint: string;
    service: string;
    /** Monotonic time of the crash, in milliseconds. */
    at: number;
    /** Monotonic time of the first report, in milliseconds. */
    reportedAt: number;
    requests: Map<string, CrashedRequest>;
    /** All subjects that its requests carry, by key, with the time of the newest send that carried it. */
    subjects: Map<string, { subject: Subject; sentAt: number }>;
}

/** A subject with the crashes that it may have caused. */
interface Candidate {
    subject: Subject;
    key: string;
    crashes: { crash: Crash; sentAt: number }[];
    /** Number of crashes, those that may have a common cause counted once. */
    count: number;
}

/** Crashes after which a subject is quarantined, unless another ran at as many and at some of the same. */
const CRASHES_TO_QUARANTINE = 3;
/** Crashes after which subjects that no crash tells apart are quarantined together. */
const CRASHES_TO_QUARANTINE_TIED = 5;
/**
 * A loss of power or of a rack ends many endpoints, each of which may be running a copy of the same request. Crashes within
 * this time, in milliseconds, count once if nothing with the subject was sent between them.
 */
const COMMON_CAUSE_MS = 1000;
/** Times in reports are compared with this tolerance, in milliseconds. */
const TOLERANCE_MS = 20;
/** Time for all gateways to report a crash and the survivals that speak against it, in milliseconds. */
const SETTLE_MS = 150;
/** A crash is forgotten after this long, in milliseconds, or when there are more newer ones than the maximum. */
const FORGET_AFTER_MS = 3_600_000;
const MAX_CRASHES = 128;
/** Requests that are kept for one crash. */
const MAX_REQUESTS = 128;

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
            if (!crash.requests.has(request.fingerprint) && crash.requests.size < MAX_REQUESTS) {
                crash.requests.set(request.fingerprint, request);
                isNew = true;
            }
            if (crash.requests.has(request.fingerprint)) {
                recordSend(crash, request);
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
        const convicted = new Set<string>();
        for (;;) {
            const found = chooseCauses(this.listCandidates(crashes, convicted));
            if (found.length === 0) {
                return verdicts;
            }
            for (const { subject, key, crashes: caused } of found) {
                convicted.add(key);
                verdicts.push({
                    ...subject,
                    service: caused[0].crash.service,
                    crashes: caused.map(({ crash }) => crash.endpoint),
                });
            }
        }
    }

    /** Lists what may have caused crashes that nothing quarantined explains. */
    private listCandidates(crashes: Crash[], convicted: Set<string>): Candidate[] {
        const candidates = new Map<string, Candidate>();
        for (const crash of crashes) {
            const isExplained = [...crash.subjects].some(([key, { subject }]) =>
                convicted.has(key) || this.isQuarantined(subject)
            );
            if (isExplained) {
                continue;
            }
            for (const [key, { subject, sentAt }] of crash.subjects) {
                if (crash.at > (this.survivedAt.get(key) ?? Number.NEGATIVE_INFINITY)) {
                    const candidate = candidates.get(key) ?? { subject, key, crashes: [], count: 0 };
                    candidates.set(key, candidate);
                    candidate.crashes.push({ crash, sentAt });
                }
            }
        }
        for (const candidate of candidates.values()) {
            candidate.count = countIndependent(candidate.crashes);
        }
        return [...candidates.values()];
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

/** Chooses the candidates with the most crashes, if there are enough of them to tell each from the others. */
function chooseCauses(candidates: Candidate[]): Candidate[] {
    const most = candidates.reduce((max, candidate) => Math.max(max, candidate.count), 0);
    if (most < CRASHES_TO_QUARANTINE) {
        return [];
    }
    const best = candidates.filter(candidate => candidate.count === most);
    return best.filter(candidate => {
        const isTied = best.some(other => other !== candidate && hasCommonCrash(other, candidate));
        return most >= (isTied ? CRASHES_TO_QUARANTINE_TIED : CRASHES_TO_QUARANTINE);
    });
}

function hasCommonCrash(left: Candidate, right: Candidate): boolean {
    return left.crashes.some(({ crash }) => right.crashes.some(other => other.crash === crash));
}

/** Counts crashes, those that may have a common cause once. */
function countIndependent(crashes: Candidate["crashes"]): number {
    let count = 0;
    let countedAt = Number.NEGATIVE_INFINITY;
    for (const { crash, sentAt } of [...crashes].sort((left, right) => left.crash.at - right.crash.at)) {
        if (sentAt > countedAt - TOLERANCE_MS || crash.at - countedAt > COMMON_CAUSE_MS) {
            count++;
            countedAt = crash.at;
        }
    }
    return count;
}

function recordSend(crash: Crash, request: CrashedRequest): void {
    const sentAt = crash.at - request.sentBeforeMs;
    for (const subject of listSubjects(request)) {
        const key = formatSubjectKey(subject);
        const known = crash.subjects.get(key);
        if (known === undefined || known.sentAt < sentAt) {
            crash.subjects.set(key, { subject, sentAt });
        }
    }
}
