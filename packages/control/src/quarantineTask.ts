import type { ConsensusRuntime } from "@kumquathall/consensus";
import { formatQuarantineKey, QUARANTINE_KEY_PREFIX } from "@kumquathall/control-state";
import { CrashEvidence, type QuarantineVerdict, type Subject } from "@kumquathall/crash-evidence";
import { describeError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { Command, CommandResult, CrashEvidenceFact } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

export interface QuarantineTaskOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    stateMachine: ControlStateMachine;
    logger: Logger;
}

const TICK_MS = 100;

/**
 * Collects what gateways report of crashes. Every member does so, and the leader quarantines what has caused them, so that
 * a new leader needs no report again. What is quarantined is replicated, and gateways read it with the configuration.
 */
export class QuarantineTask {
    private readonly evidence = new CrashEvidence({ isQuarantined: subject => this.isQuarantined(subject) });
    private readonly watchers = new Set<Link>();
    /** Quarantined subjects at the newest revision seen, by key. */
    private quarantined = new Map<string, Subject>();
    private revision = 0;
    private hasNewEvidence = false;
    private isDeciding = false;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: QuarantineTaskOptions) {
        this.timer = setInterval(() => void this.decide(performance.now()), TICK_MS);
    }

    /** Records facts; those that are new are forwarded to gateways, so that they report survivals. */
    record(facts: CrashEvidenceFact[]): void {
        const now = performance.now();
        const crashes: CrashEvidenceFact[] = [];
        for (const fact of facts) {
            if (fact.kind === "survival") {
                this.evidence.recordSurvival(fact, now);
            }
            else if (this.evidence.recordCrash(fact, now)) {
                this.hasNewEvidence = true;
                crashes.push(fact);
                this.options.logger.info("crash-recorded", {
                    endpoint: fact.endpoint,
                    service: fact.service,
                    reporter: fact.reporter,
                    requests: fact.requests.length,
                });
            }
        }
        if (crashes.length > 0 && this.isRelay()) {
            this.watchers.forEach(link => link.cast({ kind: "crashEvidence", facts: crashes }));
        }
    }

    /** Sends the known crashes to a gateway, and new ones from now on. */
    watch(link: Link): void {
        this.watchers.add(link);
        const facts = this.evidence.listFacts(performance.now());
        if (facts.length > 0) {
            link.cast({ kind: "crashEvidence", facts });
        }
    }

    removeLink(link: Link): void {
        this.watchers.delete(link);
    }

    close(): void {
        clearInterval(this.timer);
    }

    /** Whether this member forwards crashes: the leader does, and every member that knows no leader. */
    private isRelay(): boolean {
        const { leaderId, id } = this.options.runtime.getState();
        return leaderId === undefined || leaderId === id;
    }

    private isQuarantined(subject: Subject): boolean {
        return this.quarantined.has(formatQuarantineKey(subject.subject, subject.id));
    }

    private async decide(now: number): Promise<void> {
        this.refreshQuarantined();
        if (!this.hasNewEvidence || this.isDeciding || !this.options.runtime.canServe()) {
            return;
        }
        this.isDeciding = true;
        const verdicts = this.evidence.decide(now);
        this.hasNewEvidence = this.evidence.hasUnsettled(now);
        for (const verdict of verdicts) {
            await this.proposeRecord(verdict);
        }
        this.isDeciding = false;
    }

    /** Follows the replicated records; what has been released must be seen at new crashes to be quarantined again. */
    private refreshQuarantined(): void {
        const { configuration } = this.options.stateMachine.getState();
        const isUnused = this.evidence.countCrashes() === 0 && this.quarantined.size === 0;
        if (configuration.revision === this.revision || isUnused) {
            return;
        }
        this.revision = configuration.revision;
        const current = new Map<string, Subject>();
        for (const [key, { value }] of configuration.entries) {
            if (
                value?.kind === "suspect" && value.suspect.subject !== undefined
                && key.startsWith(QUARANTINE_KEY_PREFIX)
            ) {
                current.set(key, { subject: value.suspect.subject, id: value.suspect.fingerprint });
            }
        }
        for (const [key, subject] of this.quarantined) {
            if (!current.has(key)) {
                this.evidence.forget(subject);
            }
        }
        this.quarantined = current;
    }

    /** Proposes a record; if that fails, the evidence is judged again. */
    private async proposeRecord(verdict: QuarantineVerdict): Promise<void> {
        const { subject, id, service, crashes } = verdict;
        const at = new Date().toISOString();
        try {
            await this.options.runtime.propose({ kind: "quarantine", subject, id, service, crashes, at });
            this.options.logger.warn("quarantined", {
                subject,
                id,
                service,
                crashes: crashes.length,
                endpoints: crashes.join(),
            });
        }
        catch (error) {
            this.hasNewEvidence = true;
            this.options.logger.warn("quarantine-failed", { subject, id, message: describeError(error) });
        }
    }
}
