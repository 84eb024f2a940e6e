import {
    computeConfigurationLeaseEnd,
    recordRevisionReport,
    type RevisionReport,
} from "@kumquathall/configuration-lease";
import type { Logger } from "@kumquathall/logger";
import type { ConfigurationUpdate, ConfigurationValue } from "@kumquathall/types";
import { applyUpdate, compactMap, createVersionedMap, type VersionedMap } from "@kumquathall/versioned-map";
import type { ControlClient } from "./controlClient.js";

export interface ConfigurationReaderOptions {
    client: ControlClient;
    logger: Logger;
    /** Called with the changed keys after each update. */
    onChange: (keys: string[]) => void;
}

/**
 * How long the entry may act on its configuration after a majority of control members confirmed that it is current.
 * Shorter than the 3 s within which changes must be in force.
 */
const CONFIGURATION_LEASE_MS = 2500;
const REVISION_REPORT_INTERVAL_MS = 300;
const REVISION_REPORT_TIMEOUT_MS = 1000;
/** Number of revisions for which removed keys are kept, so that agents that lag behind can receive a delta. */
const REMOVED_KEY_REVISIONS = 2000;

/** Keeps the entry's copy of the configuration up to date and tracks the lease that permits its use. */
export class ConfigurationReader {
    private map: VersionedMap<ConfigurationValue> = createVersionedMap();
    private revisionReports: RevisionReport[] = [];
    /** Control member whose revision this entry watches and from which it reads. */
    private source: string | undefined;
    private isReading = false;
    private mustReadAgain = false;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: ConfigurationReaderOptions) {
        this.timer = setInterval(() => this.pollMembers(), REVISION_REPORT_INTERVAL_MS);
    }

    getConfiguration(): VersionedMap<ConfigurationValue> {
        return this.map;
    }

    /** Remaining time of the configuration lease, in milliseconds; 0 after it has expired. */
    getLeaseMs(now: number): number {
        const end = computeConfigurationLeaseEnd({
            reports: this.revisionReports,
            revision: this.map.revision,
            leaseMs: CONFIGURATION_LEASE_MS,
        });
        return Math.max(0, end - now);
    }

    /** Subscribes to a newly connected member if there is no other source, and requests its revision report. */
    handleLinkOpened(member: string): void {
        if (this.source === undefined || this.source === member) {
            this.source = member;
            void this.subscribe();
        }
        void this.pollMember(member);
    }

    /** Reads the changes up to a revision that the source has announced, unless they are applied already. */
    handleRevision(revision: number): void {
        if (revision > this.map.revision) {
            void this.readChanges();
        }
    }

    close(): void {
        clearInterval(this.timer);
    }

    private pollMembers(): void {
        for (const member of this.options.client.listMembers()) {
            void this.pollMember(member);
        }
        if (this.source === undefined || !this.options.client.hasLink(this.source)) {
            this.source = this.options.client.listMembers().find(member => this.options.client.hasLink(member));
            void this.subscribe();
        }
    }

    private async pollMember(member: string): Promise<void> {
        const sentAt = performance.now();
        const answer = await this.options.client.callMember(member, { kind: "vouch" }, REVISION_REPORT_TIMEOUT_MS);
        if (answer?.kind !== "vouch") {
            return;
        }
        this.revisionReports = recordRevisionReport(this.revisionReports, answer.vouch, sentAt);
        const isBehind = answer.vouch.accepted > this.map.revision;
        if (isBehind && member === this.source) {
            void this.readChanges();
        }
        else if (isBehind && this.getLeaseMs(performance.now()) < CONFIGURATION_LEASE_MS / 2) {
            // Less than half of the lease is left: the source lags behind a majority of members. Switch to this member.
            this.source = member;
            void this.subscribe();
        }
    }

    /** Watches the source's revision and reads the changes that this entry lacks. */
    private async subscribe(): Promise<void> {
        if (this.source !== undefined) {
            await this.options.client.callMember(this.source, { kind: "watchRevision" });
            await this.readChanges();
        }
    }

    /** Reads the changes from the source; a call during a read causes one more read. */
    private async readChanges(): Promise<void> {
        this.mustReadAgain = true;
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        while (this.mustReadAgain && this.source !== undefined) {
            this.mustReadAgain = false;
            const since = this.map.revision;
            const answer = await this.options.client.callMember(this.source, { kind: "readConfiguration", since });
            if (answer?.kind === "update") {
                this.applyUpdate(answer.update);
            }
        }
        this.isReading = false;
    }

    private applyUpdate(update: ConfigurationUpdate): void {
        const previous = this.map;
        this.map = compactMap(applyUpdate(this.map, update), update.revision - REMOVED_KEY_REVISIONS);
        if (previous !== this.map) {
            this.options.onChange(update.changes.map(change => change.key));
        }
    }
}
