import { getTraffic } from "@kumquathall/control-state";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type {
    ConfigurationUpdate,
    ConfigurationValue,
    ControlAnswer,
    ControlCall,
    RevisionCast,
} from "@kumquathall/types";
import { computeUpdate, type VersionedMap } from "@kumquathall/versioned-map";

/** What a reader of the configuration asks for. */
export type ConfigurationRead = Omit<Extract<ControlCall, { kind: "readConfiguration" }>, "kind">;

/** Changes within this time are announced together, in milliseconds. */
const COALESCE_MS = 20;

/**
 * Announces new configuration revisions to watching links, and answers their reads. Since a watcher reads at its own
 * pace, changes that come faster than its link carries them are merged into one read and never queue on the link.
 */
export class Distributor {
    /** Revision that was last announced to each watching link. */
    private readonly watchers = new Map<Link, number>();
    /** Updates of the newest revision, by what was read; readers at the same revision share one. */
    private readonly updates = new Map<string, ConfigurationUpdate>();
    private timer: NodeJS.Timeout | undefined;
    private version = 0;

    constructor(
        private readonly getConfiguration: () => VersionedMap<ConfigurationValue>,
        private readonly logger: Logger,
    ) {}

    /** Announces later revisions to a link; returns the current one. */
    watch(link: Link): ControlAnswer {
        const { revision } = this.getConfiguration();
        this.watchers.set(link, revision);
        return { kind: "revision", revision };
    }

    /** Ends the announcements to a link, for example because it was closed. */
    removeWatcher(link: Link): void {
        this.watchers.delete(link);
    }

    /** Returns the changes after revision `since`, of the entries whose keys begin with one of the prefixes. */
    read({ since, keyPrefix = "", keyPrefixes = [keyPrefix] }: ConfigurationRead): ControlAnswer {
        const configuration = this.getConfiguration();
        const readKey = JSON.stringify([since, ...keyPrefixes]);
        let update = this.updates.get(readKey);
        if (update?.revision !== configuration.revision) {
            update = computeUpdate(configuration, since, key => keyPrefixes.some(prefix => key.startsWith(prefix)));
            this.updates.set(readKey, update);
        }
        return { kind: "update", update };
    }

    /** Schedules the announcement of the newest revision; calls before it runs share it. */
    scheduleAnnouncement(): void {
        this.timer ??= setTimeout(() => this.announce(), COALESCE_MS);
    }

    close(): void {
        clearTimeout(this.timer);
    }

    private announce(): void {
        this.timer = undefined;
        this.updates.clear();
        const configuration = this.getConfiguration();
        const { revision } = configuration;
        const message: RevisionCast = { kind: "revision", revision };
        let maxQueuedBytes = 0;
        for (const [link, announced] of this.watchers) {
            if (announced < revision) {
                maxQueuedBytes = Math.max(maxQueuedBytes, link.getTraffic().queuedBytes);
                link.cast(message);
                this.watchers.set(link, revision);
            }
        }
        const version = getTraffic(configuration)?.version ?? 0;
        if (version !== this.version) {
            this.version = version;
            this.logger.info("configuration-announced", {
                version,
                revision,
                watchers: this.watchers.size,
                maxQueuedBytes,
            });
        }
    }
}
