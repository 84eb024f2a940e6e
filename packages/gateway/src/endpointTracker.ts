import { EndpointRegistry, type EndpointView } from "@kumquathall/endpoint-registry";
import { listEngineGroups } from "@kumquathall/engine-groups";
import type { GroupLoad } from "@kumquathall/engine-model";
import type { Logger } from "@kumquathall/logger";
import type { EndpointFact, TrafficService } from "@kumquathall/types";
import { EndpointHealth } from "./endpointHealth.js";
import { EndpointPool } from "./endpointPool.js";
import { MAX_CRASHES } from "./fingerprint.js";

/** One endpoint with its connection pool and this gateway's requests in flight. */
export interface TrackedEndpoint {
    readonly key: string;
    readonly view: EndpointView;
    readonly pool: EndpointPool;
    readonly health: EndpointHealth;
    /** Requests that were sent and have not ended. */
    inFlight: Set<SentRequest>;
    /** Monotonic times at which attempts ended without a complete response, oldest first, in milliseconds. */
    brokenAt: number[];
    /** Number of requests that ended after the latest report from the engine. */
    endedSinceReport: number;
    /** Monotonic time of the latest response, in milliseconds. */
    lastResponseAt: number;
    /** Monotonic time until which the endpoint gets no new requests after a failure, in milliseconds. */
    avoidUntil: number;
    /** Load that the endpoint reported in its latest response with a load header. */
    reportedLoad: { running: number; waiting: number; at: number } | undefined;
}

/** One request in flight. */
export interface SentRequest {
    sentAt: number;
    promptTokens: number;
    hasStarted: boolean;
    /** Called when the request cannot complete, because the endpoint (`isEndpointLost`) or only its group is lost. */
    onLost: (reason: string, isEndpointLost: boolean) => void;
}

export interface EndpointTrackerOptions {
    getService: (name: string) => TrafficService | undefined;
    logger: Logger;
}

const FORGET_AFTER_MS = 60_000;
/** Number of broken attempts that are kept for each endpoint. */
const MAX_BROKEN = 64;
/** Attempts that broke off this long before the loss of their endpoint was reported may have broken off with it. */
const BROKEN_WITH_LOSS_MS = 2000;
/** Plain endpoints are skipped after this long without a heartbeat or a response, in milliseconds: five heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 6000;
/** Fraction of an endpoint's connections that one gateway may use; several gateways share the endpoint. */
const CONNECTION_FRACTION = 1 / 8;
const MIN_CONNECTIONS = 4;

/** Tracks the endpoints from the facts that control members send, with this gateway's requests in flight at each. */
export class EndpointTracker {
    private readonly registry = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    private readonly endpoints = new Map<string, TrackedEndpoint>();
    private views: EndpointView[] = [];
    private isStale = true;
    /** Pace of the slowest member of each group, by the key of its head. */
    private paceByHead = new Map<string, number>();
    /** Heads of complete, open groups, by service and model. */
    private headsByModel = new Map<string, EndpointView[]>();

    constructor(private readonly options: EndpointTrackerOptions) {}

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

    /** Whether {@link MAX_CRASHES} endpoints were lost while running a request. Computes its fingerprint on demand. */
    isQuarantined(computeFingerprint: () => string): boolean {
        return this.registry.hasCrashes() && this.registry.countCrashes(computeFingerprint()) >= MAX_CRASHES;
    }

    /** Lists the heads of the complete, open groups of a service that serve a model. */
    listGroupHeads(service: string, model: string): TrackedEndpoint[] {
        return (this.headsByModel.get(`${service}/${model}`) ?? []).map(view => this.getOrCreateEndpoint(view));
    }

    /** Lists the endpoints of a plain service (one without an engine profile) that accept requests. */
    listPlainEndpoints(service: string, now: number): TrackedEndpoint[] {
        return this.views
            .filter(view => view.service === service && !view.isLeaving && !view.isLost)
            .map(view => this.getOrCreateEndpoint(view))
            .filter(endpoint =>
                now - Math.max(endpoint.view.lastSeenAt, endpoint.lastResponseAt) < HEARTBEAT_TIMEOUT_MS
            );
    }

    /** Estimates a group's load: its latest report, corrected by this gateway's requests sent or ended after it. */
    estimateLoad(endpoint: TrackedEndpoint): GroupLoad {
        const { engine, engineReportedAt } = endpoint.view;
        let sentSince = 0;
        let pendingPrefillTokens = 0;
        for (const request of endpoint.inFlight) {
            sentSince += request.sentAt > engineReportedAt ? 1 : 0;
            pendingPrefillTokens += request.hasStarted ? 0 : request.promptTokens;
        }
        const reported = (engine?.running ?? 0) + (engine?.waiting ?? 0);
        const total = Math.max(endpoint.inFlight.size, reported + sentSince - endpoint.endedSinceReport);
        const waiting = Math.min(total, (engine?.waiting ?? 0) + sentSince);
        return {
            running: total - waiting,
            waiting,
            pendingPrefillTokens,
            kvUsedTokens: engine?.kvUsedTokens ?? 0,
            pace: this.paceByHead.get(endpoint.key) ?? engine?.pace ?? 1,
        };
    }

    /** Records that an attempt at an endpoint ended without a complete response. */
    recordBrokenAttempt(endpoint: TrackedEndpoint, now: number): void {
        endpoint.brokenAt = [...endpoint.brokenAt.slice(1 - MAX_BROKEN), now];
    }

    close(): void {
        for (const endpoint of this.endpoints.values()) {
            endpoint.pool.destroy(new Error("stopping"));
        }
    }

    /** Rebuilds the data derived from facts and fails the requests in flight at lost endpoints and broken groups. */
    private refresh(): void {
        this.isStale = false;
        this.views = this.registry.listViews();
        this.headsByModel = new Map();
        this.paceByHead = new Map();
        const serving = new Set<string>();
        for (const group of listEngineGroups(this.views)) {
            if (group.head !== undefined && group.isOpen && !group.isDegraded && !group.isStandby) {
                const key = `${group.head.service}/${group.model}`;
                this.headsByModel.set(key, [...this.headsByModel.get(key) ?? [], group.head]);
                serving.add(formatEndpointKey(group.head));
                this.paceByHead.set(
                    formatEndpointKey(group.head),
                    Math.max(...group.members.map(member => member.engine?.pace ?? 1)),
                );
            }
        }
        const present = new Map(this.views.map(view => [formatEndpointKey(view), view]));
        for (const [key, endpoint] of this.endpoints) {
            const view = present.get(key);
            if (view === undefined || view.isLost) {
                this.dropEndpoint(key, endpoint);
                continue;
            }
            if (view.engineReportedAt > endpoint.view.engineReportedAt) {
                endpoint.endedSinceReport = 0;
            }
            (endpoint as { view: EndpointView }).view = view;
            if (view.engine !== undefined && !serving.has(key) && !this.isFinishing(view)) {
                [...endpoint.inFlight].forEach(request => request.onLost("its group no longer serves", false));
            }
        }
    }

    /** Whether a group has all its members, leaving or not, and so still completes its requests. */
    private isFinishing(view: EndpointView): boolean {
        const group = listEngineGroups(this.views).find(item => item.head?.id === view.id);
        return group !== undefined && !group.isBroken;
    }

    private dropEndpoint(key: string, endpoint: TrackedEndpoint): void {
        this.endpoints.delete(key);
        const now = performance.now();
        const broken = endpoint.brokenAt.filter(at => now - at < BROKEN_WITH_LOSS_MS);
        this.options.logger.info("endpoint-lost", {
            endpoint: key,
            inFlight: endpoint.inFlight.size,
            brokenBefore: broken.length,
            sinceBrokenMs: broken.length === 0 ? undefined : Math.round(now - broken[0]),
        });
        [...endpoint.inFlight].forEach(request => request.onLost("its endpoint is lost", true));
        endpoint.pool.close();
    }

    private getOrCreateEndpoint(view: EndpointView): TrackedEndpoint {
        const key = formatEndpointKey(view);
        const known = this.endpoints.get(key);
        if (known !== undefined) {
            return known;
        }
        const maxConnections = this.options.getService(view.service)?.maxConnections ?? MIN_CONNECTIONS;
        const endpoint: TrackedEndpoint = {
            key,
            view,
            pool: new EndpointPool(
                view.address,
                Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * CONNECTION_FRACTION)),
            ),
            health: new EndpointHealth(),
            inFlight: new Set(),
            brokenAt: [],
            endedSinceReport: 0,
            lastResponseAt: 0,
            avoidUntil: 0,
            reportedLoad: undefined,
        };
        this.endpoints.set(key, endpoint);
        return endpoint;
    }
}

function formatEndpointKey(view: EndpointView): string {
    return `${view.id}@${view.bornMs}`;
}
