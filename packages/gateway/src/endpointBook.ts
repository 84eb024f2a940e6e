import { EndpointRegistry, type EndpointView } from "@kumquathall/endpoint-registry";
import { listEngineGroups } from "@kumquathall/engine-groups";
import type { GroupLoad } from "@kumquathall/engine-model";
import type { EndpointFact, TrafficService } from "@kumquathall/types";
import { EndpointHealth } from "./endpointHealth.js";
import { EndpointPool } from "./endpointPool.js";
import { MAX_CRASHES } from "./fingerprint.js";

/** What this gateway has under way at one endpoint. */
export interface EndpointUse {
    readonly key: string;
    readonly view: EndpointView;
    readonly pool: EndpointPool;
    readonly health: EndpointHealth;
    /** Requests sent and not ended, by the time they were sent. */
    inFlight: Set<SentRequest>;
    /** Requests that ended since the newest report. */
    endedSinceReport: number;
    /** When it last answered a request, monotonic milliseconds. */
    answeredAt: number;
    /** Set while the endpoint fails; no new requests until then, monotonic milliseconds. */
    avoidUntil: number;
    /** Load that the endpoint itself told in an answer, for plain services. */
    toldLoad: { running: number; waiting: number; at: number } | undefined;
}

/** One request under way. */
export interface SentRequest {
    sentAt: number;
    promptTokens: number;
    hasStarted: boolean;
    /** Called when the endpoint can no longer finish it; `hasEnded` if the endpoint itself is gone. */
    onLost: (reason: string, hasEnded: boolean) => void;
}

const FORGET_AFTER_MS = 60_000;
/** Plain endpoints are dropped after this long without a heartbeat or an answer, in milliseconds: five heartbeats. */
const HEARTBEAT_SILENCE_MS = 6000;
/** Part of an endpoint's connections that one gateway may use; several gateways share them. */
const CONNECTION_PART = 1 / 8;
const MIN_CONNECTIONS = 4;

/** The endpoints as this gateway sees them: facts from control, and its own requests under way. */
export class EndpointBook {
    private readonly registry = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    private readonly uses = new Map<string, EndpointUse>();
    private views: EndpointView[] = [];
    private isStale = true;
    /** Pace of the slowest member of each head's group, by the head's key. */
    private paces = new Map<string, number>();
    /** Ids of the heads of whole, open groups, by model. */
    private headsByModel = new Map<string, EndpointView[]>();

    constructor(private readonly getService: (name: string) => TrafficService | undefined) {}

    record(facts: EndpointFact[], now: number): void {
        for (const fact of facts) {
            if (this.registry.record(fact, now)) {
                this.isStale = true;
            }
        }
        if (this.isStale) {
            this.refresh();
        }
    }

    /** Whether a request has ended as many endpoints as it may. The fingerprint is computed only if any request ever did. */
    isFenced(computeFingerprint: () => string): boolean {
        return this.registry.hasCrashes() && this.registry.countCrashes(computeFingerprint()) >= MAX_CRASHES;
    }

    /** Heads of the whole, open groups of a service that serve a model. */
    listHeads(service: string, model: string): EndpointUse[] {
        return (this.headsByModel.get(`${service}/${model}`) ?? []).map(view => this.openUse(view));
    }

    /** Endpoints of a plain service that take requests. */
    listPlain(service: string, now: number): EndpointUse[] {
        return this.views
            .filter(view => view.service === service && !view.isLeaving && !view.isLost)
            .map(view => this.openUse(view))
            .filter(use => now - Math.max(use.view.lastSeenAt, use.answeredAt) < HEARTBEAT_SILENCE_MS);
    }

    /** Load of a group: its newest report, corrected by what this gateway has sent and seen end since. */
    estimateLoad(use: EndpointUse): GroupLoad {
        const { engine, engineReportedAt: engineHeardAt } = use.view;
        let sentSince = 0;
        let unreadTokens = 0;
        for (const request of use.inFlight) {
            sentSince += request.sentAt > engineHeardAt ? 1 : 0;
            unreadTokens += request.hasStarted ? 0 : request.promptTokens;
        }
        const reported = (engine?.running ?? 0) + (engine?.waiting ?? 0);
        const total = Math.max(use.inFlight.size, reported + sentSince - use.endedSinceReport);
        const waiting = Math.min(total, (engine?.waiting ?? 0) + sentSince);
        return {
            running: total - waiting,
            waiting,
            pendingPrefillTokens: unreadTokens,
            kvUsedTokens: engine?.kvUsedTokens ?? 0,
            pace: this.paces.get(use.key) ?? engine?.pace ?? 1,
        };
    }

    close(): void {
        for (const use of this.uses.values()) {
            use.pool.destroy(new Error("stopping"));
        }
    }

    /** Rebuilds what is derived from facts; requests under way at lost endpoints and broken groups hear of it. */
    private refresh(): void {
        this.isStale = false;
        this.views = this.registry.listViews();
        this.headsByModel = new Map();
        this.paces = new Map();
        const serving = new Set<string>();
        for (const group of listEngineGroups(this.views)) {
            if (group.head !== undefined && group.isOpen && !group.isDegraded && !group.isStandby) {
                const key = `${group.head.service}/${group.model}`;
                this.headsByModel.set(key, [...this.headsByModel.get(key) ?? [], group.head]);
                serving.add(formatUseKey(group.head));
                this.paces.set(
                    formatUseKey(group.head),
                    Math.max(...group.members.map(member => member.engine?.pace ?? 1)),
                );
            }
        }
        const present = new Map(this.views.map(view => [formatUseKey(view), view]));
        for (const [key, use] of this.uses) {
            const view = present.get(key);
            if (view === undefined || view.isLost) {
                this.dropUse(key, use);
                continue;
            }
            if (view.engineReportedAt > use.view.engineReportedAt) {
                use.endedSinceReport = 0;
            }
            (use as { view: EndpointView }).view = view;
            if (view.engine !== undefined && !serving.has(key) && !this.isFinishing(view)) {
                [...use.inFlight].forEach(request => request.onLost("its group no longer serves", false));
            }
        }
    }

    /** A group whose members are all there, leaving or not, finishes what it runs, although it takes nothing new. */
    private isFinishing(view: EndpointView): boolean {
        const group = listEngineGroups(this.views).find(item => item.head?.id === view.id);
        return group !== undefined && !group.isBroken;
    }

    private dropUse(key: string, use: EndpointUse): void {
        this.uses.delete(key);
        [...use.inFlight].forEach(request => request.onLost("its endpoint is gone", true));
        use.pool.close();
    }

    private openUse(view: EndpointView): EndpointUse {
        const key = formatUseKey(view);
        const known = this.uses.get(key);
        if (known !== undefined) {
            return known;
        }
        const maxConnections = this.getService(view.service)?.maxConnections ?? MIN_CONNECTIONS;
        const use: EndpointUse = {
            key,
            view,
            pool: new EndpointPool(
                view.address,
                Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * CONNECTION_PART)),
            ),
            health: new EndpointHealth(),
            inFlight: new Set(),
            endedSinceReport: 0,
            answeredAt: 0,
            avoidUntil: 0,
            toldLoad: undefined,
        };
        this.uses.set(key, use);
        return use;
    }
}

function formatUseKey(view: EndpointView): string {
    return `${view.id}@${view.bornMs}`;
}
