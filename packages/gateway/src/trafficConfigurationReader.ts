import { EVACUATION_KEY_PREFIX, TRAFFIC_KEY } from "@kumquathall/control-state";
import { describeError } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { ConfigurationUpdate, ControlAnswer } from "@kumquathall/types";
import type { EvacuationChange } from "./evacuations.js";
import { RouteTable } from "./routeTable.js";

export interface TrafficConfigurationReaderOptions {
    logger: Logger;
    /** Called after each new version with the table that holds it. */
    onChange: (table: RouteTable) => void;
    /** Called with each update of the entries that gateways read. */
    onUpdate?: (update: ConfigurationUpdate) => void;
    /** Called after evacuations of data centres have been put in force or withdrawn. */
    onEvacuations?: (changes: EvacuationChange[]) => void;
    /** Draws numbers in [0, 1), by which a gateway prefers one member or another. */
    random?: () => number;
}

/** A watched control member. */
interface Source {
    /** Newest revision that the member has announced. */
    revision: number;
    /** The open link with the highest rank is preferred for reads; a failed read lowers it below the others. */
    rank: number;
}

/**
 * The keys of the traffic configuration, of what is quarantined, and of evacuations begin with these. Members of earlier
 * builds ignore the list and send all entries, of which those of other kinds are ignored here.
 */
const READ_SCOPE = { keyPrefix: "", keyPrefixes: [TRAFFIC_KEY, EVACUATION_KEY_PREFIX] };
/** Timeout of a read, in milliseconds. An answer that comes after another member was asked is used if it still fits. */
const READ_TIMEOUT_MS = 30_000;
/** Interval in which an answer must make progress, in milliseconds; it doubles with each read that makes none. */
const MIN_PROGRESS_INTERVAL_MS = 700;
const MAX_PROGRESS_INTERVAL_MS = 5600;
/** Bytes received in such an interval that count as progress: more than heartbeats alone. */
const PROGRESS_BYTES = 1024;
const RETRY_PAUSE_MS = 100;
/** How long a read waits for the preferred member to have a revision that another has announced, in milliseconds. */
const PREFERRED_WAIT_MS = 150;
const PREFERRED_POLL_MS = 20;
/**
 * How long requests are served by a configuration that is known to be superseded, in milliseconds: below the 2 s within
 * which a confirmed version must be in force.
 */
const MAX_BEHIND_MS = 1500;

/**
 * Keeps the traffic configuration up to date. Every linked control member announces new revisions; the changes are read
 * from one member at a time, a preferred one if it has them, so that reads spread over the members.
 */
export class TrafficConfigurationReader {
    private readonly table = new RouteTable();
    private revision = 0;
    private readonly sources = new Map<Link, Source>();
    /** Announced revisions that are not applied yet, in ascending order. */
    private pending: { revision: number; announcedAt: number }[] = [];
    private progressIntervalMs = MIN_PROGRESS_INTERVAL_MS;
    private isReading = false;

    constructor(private readonly options: TrafficConfigurationReaderOptions) {}

    /** Number of evacuated data centres. */
    countEvacuated(): number {
        return this.table.countEvacuated();
    }

    /** The table in force; `undefined` before the first version. */
    getTable(): RouteTable | undefined {
        return this.table.getVersion() === 0 ? undefined : this.table;
    }

    /** Whether a newer version has been known for so long that requests must not be served by this one any more. */
    isBehind(now: number): boolean {
        return this.pending.length > 0 && now - this.pending[0].announcedAt > MAX_BEHIND_MS;
    }

    /** Watches the revision of a newly linked member; closes the link if that fails. */
    async watch(link: Link): Promise<void> {
        try {
            const answer = await link.call({ kind: "watchRevision" }) as ControlAnswer;
            if (answer.kind === "revision") {
                this.recordRevision(link, answer.revision);
            }
        }
        catch (error) {
            link.close(`no configuration: ${describeError(error)}`);
        }
    }

    /** Records that a member has a revision, and reads the changes if they are new. */
    recordRevision(link: Link, revision: number): void {
        const random = this.options.random ?? Math.random;
        const source = this.sources.get(link) ?? { revision, rank: random() };
        source.revision = revision;
        this.sources.set(link, source);
        if (revision > Math.max(this.revision, this.pending.at(-1)?.revision ?? 0)) {
            this.pending.push({ revision, announcedAt: performance.now() });
        }
        void this.readAll();
    }

    /** Forgets a closed link. */
    removeLink(link: Link): void {
        this.sources.delete(link);
    }

    /** Ends reading. */
    close(): void {
        this.sources.clear();
    }

    /** Reads until no linked member has announced a newer revision than the one applied. */
    private async readAll(): Promise<void> {
        if (this.isReading) {
            return;
        }
        this.isReading = true;
        for (let link = this.chooseLink(); link !== undefined; link = this.chooseLink()) {
            if (!this.isPreferred(link) && this.getPreferredWaitMs() > 0) {
                await wait(Math.min(PREFERRED_POLL_MS, this.getPreferredWaitMs()));
            }
            else if (!await this.readFrom(link)) {
                this.recordFailedRead(link);
                await wait(RETRY_PAUSE_MS);
            }
        }
        this.isReading = false;
    }

    /** Chooses among the members that have announced a newer revision than the one applied. */
    private chooseLink(): Link | undefined {
        return this.listLinks().find(link => (this.sources.get(link)?.revision ?? 0) > this.revision);
    }

    private isPreferred(link: Link): boolean {
        return this.listLinks()[0] === link;
    }

    /** Lists the open links, the preferred one first. */
    private listLinks(): Link[] {
        return [...this.sources].filter(([link]) => link.isOpen())
            .sort(([, left], [, right]) => right.rank - left.rank)
            .map(([link]) => link);
    }

    private recordFailedRead(link: Link): void {
        const source = this.sources.get(link);
        if (source !== undefined) {
            source.rank--;
        }
    }

    /** Time left in which the preferred member may still announce the oldest pending revision, in milliseconds. */
    private getPreferredWaitMs(): number {
        const { announcedAt } = this.pending[0] ?? { announcedAt: Number.NEGATIVE_INFINITY };
        return announcedAt + PREFERRED_WAIT_MS - performance.now();
    }

    /** Reads the changes from a member; resolves with `false` once it has failed or its answer makes no progress. */
    private async readFrom(link: Link): Promise<boolean> {
        const answered = this.ask(link);
        for (;;) {
            const bytesBefore = link.getTraffic().receivedBytes;
            const outcome = await Promise.race([answered, wait(this.progressIntervalMs)]);
            if (outcome !== undefined) {
                return outcome;
            }
            if (link.getTraffic().receivedBytes - bytesBefore < PROGRESS_BYTES) {
                this.options.logger.warn("configuration-not-read", { source: link.peer?.id, message: "no progress" });
                this.progressIntervalMs = Math.min(MAX_PROGRESS_INTERVAL_MS, this.progressIntervalMs * 2);
                return false;
            }
        }
    }

    /** Asks a member for the changes and applies its answer; resolves with whether that brought any. */
    private async ask(link: Link): Promise<boolean> {
        const since = this.revision;
        const startedAt = performance.now();
        const bytesBefore = link.getTraffic().receivedBytes;
        try {
            const call = { kind: "readConfiguration", since, ...READ_SCOPE };
            const answer = await link.call(call, READ_TIMEOUT_MS) as ControlAnswer;
            if (answer.kind !== "update" || answer.update.revision <= since) {
                return false;
            }
            this.progressIntervalMs = MIN_PROGRESS_INTERVAL_MS;
            if (since === this.revision) {
                this.apply(answer.update, link, {
                    bytes: link.getTraffic().receivedBytes - bytesBefore,
                    readMs: Math.round(performance.now() - startedAt),
                });
            }
            return true;
        }
        catch (error) {
            const message = describeError(error);
            this.options.logger.warn("configuration-not-read", { source: link.peer?.id, since, message });
            return false;
        }
    }

    private apply(update: ConfigurationUpdate, link: Link, cost: { bytes: number; readMs: number }): void {
        const previous = this.table.getVersion();
        const now = performance.now();
        const announcedAt = this.pending[0]?.announcedAt ?? now;
        const evacuations = this.table.apply(update);
        this.options.onUpdate?.(update);
        this.revision = update.revision;
        this.pending = this.pending.filter(item => item.revision > update.revision);
        if (evacuations.length > 0) {
            this.recordEvacuations(evacuations, { revision: update.revision, announcedAt, now });
        }
        const version = this.table.getVersion();
        if (version === previous) {
            return;
        }
        this.options.logger.info("configuration-applied", {
            version,
            previous,
            revision: update.revision,
            source: link.peer?.id,
            ...cost,
            buildMs: Math.round(performance.now() - now),
            sinceAnnouncedMs: Math.round(now - announcedAt),
        });
        this.options.onChange(this.table);
    }

    private recordEvacuations(
        changes: EvacuationChange[],
        { revision, announcedAt, now }: { revision: number; announcedAt: number; now: number },
    ): void {
        const sinceAnnouncedMs = Math.round(now - announcedAt);
        changes.forEach(change =>
            this.options.logger.info("evacuation-applied", { ...change, revision, sinceAnnouncedMs })
        );
        this.options.onEvacuations?.(changes);
    }
}

function wait(ms: number): Promise<undefined> {
    return new Promise(resolve => setTimeout(() => resolve(undefined), ms));
}
