import { QUARANTINE_KEY_PREFIX } from "@kumquathall/control-state";
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

    /** Finds the record that applies to a request. Computes its fingerprint on demand. */
    findRecord(computeFingerprint: () => string): SuspectRecord | undefined {
        return this.records.size === 0
            ? undefined
            : this.records.get(`${QUARANTINE_KEY_PREFIX}${QuarantineSubject.Request}/${computeFingerprint()}`);
    }
}

/** Describes what is quarantined and why, for callers and logs. */
export function describeQuarantine(record: SuspectRecord): string {
    return `${record.subject} ${record.fingerprint} is quarantined: ${record.crashes.length} endpoints ended while they ran it`;
}
