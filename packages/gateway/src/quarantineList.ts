import { formatQuarantineKey, QUARANTINE_KEY_PREFIX } from "@kumquathall/control-state";
import type { Logger } from "@kumquathall/logger";
import {
    type ConfigurationUpdate,
    QuarantineSubject,
    type QuarantineSubjectValue,
    type SuspectRecord,
} from "@kumquathall/types";

/** What is quarantined, as control members distribute it. */
export class QuarantineList {
    private readonly records = new Map<string, SuspectRecord>();

    constructor(private readonly logger: Logger) {}

    /** Applies the changes of an update; a snapshot replaces everything. */
    apply(update: ConfigurationUpdate): void {
        if (update.isSnapshot) {
            this.records.clear();
        }
        for (const { key, value } of update.changes) {
            if (!key.startsWith(QUARANTINE_KEY_PREFIX)) {
                continue;
            }
            const record = value?.kind === "suspect" ? value.suspect : undefined;
            const known = this.records.get(key);
            if (record !== undefined) {
                this.records.set(key, record);
            }
            else {
                this.records.delete(key);
            }
            if ((record === undefined) !== (known === undefined)) {
                this.logger.info(record === undefined ? "quarantine-released" : "quarantine-applied", {
                    subject: (record ?? known)?.subject,
                    id: (record ?? known)?.fingerprint,
                    crashes: (record ?? known)?.crashes.length,
                });
            }
        }
    }

    /** Counts what is quarantined by subject, with 0 for subjects without any. */
    countBySubject(): Map<QuarantineSubjectValue, number> {
        const records = [...this.records.values()];
        return new Map(
            Object.values(QuarantineSubject).map(subject => [
                subject,
                records.filter(record => record.subject === subject).length,
            ]),
        );
    }

    /** Finds the record that applies to a request by a part of its prompt, or by its fingerprint, computed on demand. */
    findRecord(promptParts: string[], computeFingerprint: () => string): SuspectRecord | undefined {
        if (this.records.size === 0) {
            return undefined;
        }
        const { Request: request } = QuarantineSubject;
        return this.findPart(promptParts) ?? this.records.get(formatQuarantineKey(request, computeFingerprint()));
    }

    /** Finds the record of the first prompt part that is quarantined. */
    findPart(promptParts: string[]): SuspectRecord | undefined {
        const { PromptPart: part } = QuarantineSubject;
        return this.records.size === 0
            ? undefined
            : promptParts.map(id => this.records.get(formatQuarantineKey(part, id))).find(record =>
                record !== undefined
            );
    }
}

/** Names what a record is about, for logs. */
export function formatSuspect({ subject, fingerprint }: SuspectRecord): string {
    return `${subject} ${fingerprint}`;
}

/** Describes what is quarantined and why, for callers and logs. */
export function describeQuarantine(record: SuspectRecord): string {
    const ran = record.subject === QuarantineSubject.PromptPart ? "requests with it" : "it";
    return `${formatSuspect(record)} is quarantined: ${record.crashes.length} endpoints ended while they ran ${ran}`;
}
