import { describeError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { ConfigurationUpdate, ControlAnswer } from "@kumquathall/types";
import { RouteTable } from "./routeTable.js";

/** Keeps the latest traffic configuration received over links to control members; ignores older versions. */
export class TrafficConfigurationReader {
    private table: RouteTable | undefined;
    /** Bytes received over each link up to the last update. */
    private readonly receivedBytes = new WeakMap<Link, number>();

    constructor(private readonly logger: Logger, private readonly onChange: (table: RouteTable) => void) {}

    getTable(): RouteTable | undefined {
        return this.table;
    }

    /** Subscribes to configuration updates on a new link; closes the link if that fails. */
    async subscribe(link: Link): Promise<void> {
        try {
            const answer = await link.call({ kind: "subscribe", since: 0 }) as ControlAnswer;
            if (answer.kind === "update") {
                this.apply(answer.update, link);
            }
        }
        catch (error) {
            link.close(`no configuration: ${describeError(error)}`);
        }
    }

    /** Applies the traffic configuration in an update if its version is newer. */
    apply(update: ConfigurationUpdate, link: Link): void {
        const { receivedBytes } = link.getTraffic();
        const updateBytes = receivedBytes - (this.receivedBytes.get(link) ?? 0);
        this.receivedBytes.set(link, receivedBytes);
        for (const { value } of update.changes) {
            const version = this.table?.configuration.version ?? 0;
            if (value?.kind === "traffic" && value.traffic.version > version) {
                const startedAt = performance.now();
                this.table = new RouteTable(value.traffic);
                this.logger.info("configuration-applied", {
                    version: value.traffic.version,
                    previous: version,
                    revision: update.revision,
                    source: link.peer?.id,
                    bytes: updateBytes,
                    buildMs: Math.round(performance.now() - startedAt),
                });
                this.onChange(this.table);
            }
        }
    }
}
