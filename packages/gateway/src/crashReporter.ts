import { formatSubjectKey, listPromptParts, listSubjects, type Subject } from "@kumquathall/crash-evidence";
import {
    AttemptStage,
    type CrashedRequest,
    type CrashEvidenceFact,
    type CrashFact,
    type RequestTraits,
    type SurvivalFact,
} from "@kumquathall/types";

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
/** Prompt parts whose survival is remembered, and for how long, in milliseconds. */
const MAX_SURVIVED_PARTS = 4096;
const SURVIVAL_MEMORY_MS = 600_000;
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
    /** Time of the newest survival of each prompt part at this gateway, by its key. */
    private readonly survivedParts = new Map<string, number>();

    constructor(private readonly options: CrashReporterOptions) {}

    /** Reports the crash of an endpoint. Prompt parts of what had been running there have survived their begin. */
    reportCrash(crash: EndpointCrash, now: number): void {
        for (const request of crash.requests.filter(item => item.stage === AttemptStage.Running)) {
            this.recordSurvivedParts(request.parts, crash.at);
        }
        const fact: CrashFact = {
            kind: "crash",
            endpoint: crash.endpoint,
            service: crash.service,
            reporter: this.options.id,
            ageMs: now - crash.at,
            // What ends an endpoint as it begins to run is among those sent last.
            requests: crash.requests.filter(request => request.stage !== AttemptStage.Running)
                .sort((left, right) => left.sentBeforeMs - right.sentBeforeMs)
                .slice(0, MAX_REQUESTS),
        };
        this.reports = [...this.reports.slice(1 - MAX_REPORTS), { crash, fact }];
        this.options.sendAll([fact]);
        this.recordFacts([fact], now);
    }

    /** Lists the newest reports, for a control member that may know none of them. */
    listReports(now: number): CrashFact[] {
        return this.reports.map(({ crash, fact }) => ({ ...fact, ageMs: now - crash.at }));
    }

    /** Records what any gateway had running at crashes, and reports which prompt parts of it have survived here before. */
    recordFacts(facts: CrashEvidenceFact[], now: number): void {
        const survived = new Map<string, SurvivalFact>();
        for (const fact of facts) {
            for (const subject of fact.kind === "crash" ? fact.requests.flatMap(listSubjects) : []) {
                const key = formatSubjectKey(subject);
                this.addSuspect(key);
                const survivedAt = this.survivedParts.get(key);
                if (survivedAt !== undefined && now - survivedAt < SURVIVAL_MEMORY_MS) {
                    survived.set(key, { kind: "survival", ...subject, ageMs: now - survivedAt });
                }
            }
        }
        if (survived.size > 0) {
            this.options.sendAll([...survived.values()]);
        }
    }

    /** Reports that a request has run to its end, if it or what it carries ran at a crash. Describes it on demand. */
    reportSurvival(promptParts: string[], describeRequest: () => RequestTraits, now: number): void {
        this.recordSurvivedParts(promptParts, now);
        if (this.suspects.size === 0) {
            return;
        }
        const survived = listSubjects(describeRequest()).filter(subject => this.isReportDue(subject, now));
        if (survived.length > 0) {
            this.options.sendAll(survived.map((subject): SurvivalFact => ({ kind: "survival", ...subject, ageMs: 0 })));
        }
    }

    private recordSurvivedParts(promptParts: string[], at: number): void {
        for (const part of listPromptParts({ parts: promptParts })) {
            setNewest(this.survivedParts, formatSubjectKey(part), at, MAX_SURVIVED_PARTS);
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
        setNewest(this.suspects, key, Number.NEGATIVE_INFINITY, MAX_SUSPECTS);
    }
}

/** Sets an entry as the newest of a map, and removes the oldest one above `maxSize`. */
function setNewest(map: Map<string, number>, key: string, value: number, maxSize: number): void {
    map.delete(key);
    map.set(key, value);
    const oldest = map.keys().next().value;
    if (map.size > maxSize && oldest !== undefined) {
        map.delete(oldest);
    }
}
