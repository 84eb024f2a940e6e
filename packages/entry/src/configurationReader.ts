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
    /** Called with the keys that an update changed. */
    onChange: (keys: string[]) => void;
}

/** How long a reader may act on its configuration after a majority vouched for it; below the 3 s in which changes are in force. */
const CONFIGURATION_LEASE_MS = 2500;
const VOUCH_INTERVAL_MS = 300;
const VOUCH_TIMEOUT_MS = 1000;
/** Removed keys that the entry remembers for agents that are behind, in revisions. */
const KEPT_REVISIONS = 2000;

/** The entry's copy of the configuration and the lease under which it may be used. */
export class ConfigurationReader {
    private map: VersionedMap<ConfigurationValue> = createVersionedMap();
    private vouches: RevisionReport[] = [];
    private source: string | undefined;
    private isSubscribing = false;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: ConfigurationReaderOptions) {
        this.timer = setInterval(() => this.askMembers(), VOUCH_INTERVAL_MS);
    }

    getConfiguration(): VersionedMap<ConfigurationValue> {
        return this.map;
    }

    /** Time for which the configuration may still be acted on, in milliseconds; 0 when it may not. */
    getLeaseMs(now: number): number {
        const end = computeConfigurationLeaseEnd({
            reports: this.vouches,
            revision: this.map.revision,
            leaseMs: CONFIGURATION_LEASE_MS,
        });
        return Math.max(0, end - now);
    }

    /** A link to a member opened. */
    handleOpen(member: string): void {
        if (this.source === undefined || this.source === member) {
            this.source = member;
            void this.subscribe();
        }
        void this.askMember(member);
    }

    /** Applies a pushed update; one that starts after this reader's revision means that some were missed. */
    handleUpdate(update: ConfigurationUpdate): void {
        if (!update.isSnapshot && update.since > this.map.revision) {
            void this.subscribe();
            return;
        }
        const before = this.map;
        this.map = compactMap(applyUpdate(this.map, update), update.revision - KEPT_REVISIONS);
        if (before !== this.map) {
            this.options.onChange(update.changes.map(change => change.key));
        }
    }

    close(): void {
        clearInterval(this.timer);
    }

    private askMembers(): void {
        for (const member of this.options.client.listMembers()) {
            void this.askMember(member);
        }
        if (this.source === undefined || !this.options.client.hasLink(this.source)) {
            this.source = this.options.client.listMembers().find(member => this.options.client.hasLink(member));
            void this.subscribe();
        }
    }

    private async askMember(member: string): Promise<void> {
        const sentAt = performance.now();
        const answer = await this.options.client.callMember(member, { kind: "vouch" }, VOUCH_TIMEOUT_MS);
        if (answer?.kind !== "vouch") {
            return;
        }
        this.vouches = recordRevisionReport(this.vouches, answer.vouch, sentAt);
        const isBehind = answer.vouch.accepted > this.map.revision;
        if (isBehind && member === this.source) {
            void this.subscribe();
        }
        else if (isBehind && this.getLeaseMs(performance.now()) < CONFIGURATION_LEASE_MS / 2) {
            // The member that this entry follows lags behind a majority.
            this.source = member;
            void this.subscribe();
        }
    }

    private async subscribe(): Promise<void> {
        if (this.isSubscribing || this.source === undefined) {
            return;
        }
        this.isSubscribing = true;
        const answer = await this.options.client.callMember(this.source, {
            kind: "subscribe",
            since: this.map.revision,
        });
        this.isSubscribing = false;
        if (answer?.kind === "update") {
            this.handleUpdate(answer.update);
        }
    }
}
