import { formatSubjectKey, listSubjects, type Subject } from "@kumquathall/crash-evidence";
import type { CrashedRequest, CrashEvidenceFact, CrashFact, RequestTraits, SurvivalFact } from "@kumquathall/types";

export interface CrashReporterOptions {
    /** Names this gateway in its reports. */
    id: string;
    /** Sends facts to all linked control members. */
    sendAll: (facts: CrashEvidenceFact[]) => void;
}

/** An endpoint process that ended, with what this gateway had running on it. */
export interface EndpointCrash {
    endpoint: string;
    service: string;
    /** Monotonic time at which the attempts broke off or the loss was reported, in milliseconds. */
    at: number;
    requests: CrashedRequest[];
}

/** Number of this gateway's newest reports that a newly linked control member gets. */
const MAX_REPORTS = 32;
/** Requests in one report. */
const MAX_REQUESTS = 128;
/** Subjects whose survival is reported; the oldest are forgotten. */
const MAX_SUSPECTS = 4096;
/** A survival of the same subject is reported again after this long, in milliseconds. */
const SURVIVAL_INTERVAL_MS = 500;

/**
 * Reports to control what this gateway had running on endpoints that crashed, and which requests of a kind that ran at a
 * crash, as any gateway has reported it, have run to their end.
 */
export class CrashReporter {
    private reports: { crash: EndpointCrash; fact: CrashFact }[] = [];
    /** Time of the last reported survival of each subject that ran at a crash, by its key. */
    private readonly suspects = new Map<string, number>();

    constructor(private readonly options: CrashReporterOptions) {}

    /** Reports the crash of an endpoint. */
    reportCrash(crash: EndpointCrash, now: number): void {
        const fact: CrashFact = {
            kind: "crash",
            endpoint: crash.endpoint,
            service: crash.service,
            reporter: this.options.id,
            ageMs: now - crash.at,
            requests: crash.requests.slice(0, MAX_REQUESTS),
        };
        this.reports = [...this.reports.slice(1 - MAX_REPORTS), { crash, fact }];
        this.recordFacts([fact]);
        this.options.sendAll([fact]);
    }

    /** Lists the newest reports, for a control member that may know none of them. */
    listReports(now: number): CrashFact[] {
        return this.reports.map(({ crash, fact }) => ({ ...fact, ageMs: now - crash.at }));
    }

    /** Records what any gateway had running at crashes. */
    recordFacts(facts: CrashEvidenceFact[]): void {
        for (const fact of facts) {
            const subjects = fact.kind === "crash" ? fact.requests.flatMap(listSubjects) : [];
            subjects.forEach(subject => this.addSuspect(formatSubjectKey(subject)));
        }
    }

    /** Reports that a request has run to its end, if it or what it carries ran at a crash. Describes it on demand. */
    reportSurvival(describeRequest: () => RequestTraits, now: number): void {
        if (this.suspects.size === 0) {
            return;
        }
        const survived = listSubjects(describeRequest()).filter(subject => this.isReportDue(subject, now));
        if (survived.length > 0) {
            this.options.sendAll(survived.map((subject): SurvivalFact => ({ kind: "survival", ...subject, ageMs: 0 })));
        }
    }

    private isReportDue(subject: Subject, now: number): boolean {
        const key = formatSubjectKey(subject);
        const reportedAt = this.suspects.get(key);
        if (reportedAt === undefined || now - reportedAt < SURVIVAL_INTERVAL_MS) {
            return false;
        }
        this.suspects.set(key, now);
        return true;
    }

    private addSuspect(key: string): void {
        // A survival from before this crash says nothing about it, so that the next one is reported at once.
        this.suspects.delete(key);
        this.suspects.set(key, Number.NEGATIVE_INFINITY);
        const oldest = this.suspects.keys().next().value;
        if (this.suspects.size > MAX_SUSPECTS && oldest !== undefined) {
            this.suspects.delete(oldest);
        }
    }
}
