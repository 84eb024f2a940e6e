import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { ConfigurationUpdate, ConfigurationValue } from "@kumquathall/types";
import { computeUpdate, type VersionedMap } from "@kumquathall/versioned-map";

/** Changes within this time are sent to a subscriber as one delta, in milliseconds. */
const COALESCE_MS = 20;

/** Sends configuration deltas to subscribed links. */
export class Distributor {
    /** Revision that was last sent to each subscriber. */
    private readonly subscribers = new Map<Link, number>();
    private timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly getConfiguration: () => VersionedMap<ConfigurationValue>,
        private readonly logger: Logger,
    ) {}

    /** Subscribes a link and returns the changes after revision `since`. */
    subscribe(link: Link, since: number): ConfigurationUpdate {
        const update = computeUpdate(this.getConfiguration(), since);
        this.subscribers.set(link, update.revision);
        return update;
    }

    unsubscribe(link: Link): void {
        this.subscribers.delete(link);
    }

    /** Schedules a push of changes to all subscribers; calls before it runs share the same push. */
    schedulePush(): void {
        this.timer ??= setTimeout(() => this.push(), COALESCE_MS);
    }

    close(): void {
        clearTimeout(this.timer);
    }

    private push(): void {
        this.timer = undefined;
        const configuration = this.getConfiguration();
        // Subscribers at the same revision share one delta.
        const updates = new Map<number, ConfigurationUpdate>();
        let subscribers = 0;
        let sentBytes = 0;
        let maxQueuedBytes = 0;
        for (const [link, since] of this.subscribers) {
            if (since >= configuration.revision) {
                continue;
            }
            const update = updates.get(since) ?? computeUpdate(configuration, since);
            updates.set(since, update);
            const before = link.getTraffic();
            link.cast({ kind: "update", update });
            this.subscribers.set(link, configuration.revision);
            subscribers++;
            sentBytes += link.getTraffic().sentBytes - before.sentBytes;
            maxQueuedBytes = Math.max(maxQueuedBytes, before.queuedBytes);
        }
        if (subscribers > 0) {
            this.logger.info("configuration-sent", {
                revision: configuration.revision,
                subscribers,
                bytes: sentBytes,
                maxQueuedBytes,
            });
        }
    }
}
