import { ChunkPacer } from "@kumquathall/byte-collector";
import { EndpointRegistry, type EndpointView, FactEffect, findFactFault } from "@kumquathall/endpoint-registry";
import { formatGroupKey, listEngineGroups } from "@kumquathall/engine-groups";
import type { GroupLoad } from "@kumquathall/engine-model";
import { describeError } from "@kumquathall/errors";
import { InputFaultLog, type Logger } from "@kumquathall/logger";
import { EndpointWork, type TypicalRequest } from "@kumquathall/request-cost";
import {
    AttemptStage,
    type AttemptStageValue,
    type DepartureFact,
    type EndpointFact,
    type RequestTraits,
    type TrafficService,
} from "@kumquathall/types";
import type { EndpointCrash } from "./crashReporter.js";
import { EndpointHealth } from "./endpointHealth.js";
import { EndpointPause } from "./endpointPause.js";
import { EndpointPool } from "./endpointPool.js";
import { FactFlow } from "./factFlow.js";
import { isRefusingConnections } from "./isRefusingConnections.js";
import { recordEngineReport } from "./recordEngineReport.js";

/** One endpoint with its connection pool and this gateway's requests in flight. */
export interface TrackedEndpoint {
    readonly key: string;
    readonly view: EndpointView;
    readonly pool: EndpointPool;
    readonly health: EndpointHealth;
    readonly pause: EndpointPause;
    /** Requests that were sent and have not ended. */
    inFlight: Set<SentRequest>;
    /** Work that it still has to do. */
    readonly work: EndpointWork<SentRequest>;
    /** Attempts that ended without a complete response, oldest first. */
    broken: BrokenAttempt[];
    /** The endpoint's process has ended. */
    hasEnded: boolean;
    /** Monotonic time of the latest response, in milliseconds. */
    lastResponseAt: number;
    /** Monotonic time until which the endpoint gets no new requests after a failure, in milliseconds. */
    avoidUntil: number;
    /** Load that the endpoint reported in its latest response with a load header. */
    reportedLoad: { running: number; waiting: number; at: number } | undefined;
}

/** An attempt that ended without a complete response. */
export interface BrokenAttempt {
    /** Monotonic time in milliseconds. */
    at: number;
    progress: AttemptProgress;
    request: RequestTraits;
}

/** How far an attempt has come: monotonic times in milliseconds. */
export interface AttemptProgress {
    sentAt: number;
    /** The response began. */
    headAt: number | undefined;
    /** The first content of the response arrived. */
    firstContentAt: number | undefined;
}

/** One request in flight. */
export interface SentRequest extends AttemptProgress {
    promptTokens: number;
    hasStarted: boolean;
    describe: () => RequestTraits;
    /** Called when the request cannot complete, because the endpoint (`isEndpointLost`) or only its group is lost. */
    onLost: (reason: string, isEndpointLost: boolean) => void;
    /** Called when the endpoint is sent nothing new; a request of which it has received nothing goes elsewhere. */
    onClosed: () => void;
}

export interface EndpointTrackerOptions {
    getService: (name: string) => TrafficService | undefined;
    logger: Logger;
    /** Facts that can't be used are counted and logged here. */
    faults?: InputFaultLog;
    /** Called when the process of an endpoint has ended by itself while requests ran on it. */
    onCrash?: (crash: EndpointCrash) => void;
    /** Resolves with whether an address refuses connections; endpoints without a sidecar are checked. */
    isRefusing?: (address: string) => Promise<boolean>;
    /** Called when the first content of a response has arrived. */
    onFirstContent?: () => void;
    /** Called when the responses of an endpoint first say that it is leaving. */
    onLeaving?: (fact: DepartureFact) => void;
}

const FORGET_AFTER_MS = 60_000;
const TOO_MANY = "more endpoints are known than may be";
/** Control forwards unchanged observations of endpoints that head no group every 5 s. */
const OBSERVER_TIMEOUT_MS = 15_000;
/** Number of broken attempts that are kept for each endpoint. */
const MAX_BROKEN = 64;
/** Attempts that broke off this long before the loss of their endpoint was reported may have broken off with it. */
const BROKEN_WITH_LOSS_MS = 2000;
/** Time in which the sidecar reports how an endpoint was lost, in milliseconds. */
const EXPLAIN_WITHIN_MS = 3000;
/** Time from its first content within which a request has just begun, and after which it runs, in milliseconds. */
const STARTING_MS = 100;
const RUNNING_AFTER_MS = 300;
/** Mean time from the begin of a response to its first content above which responses begin early, in milliseconds. */
const EARLY_HEAD_MS = 10;
/** Weight of one response in that mean. */
const EARLY_HEAD_WEIGHT = 0.1;
/** Time from a broken attempt to the check whether the endpoint still accepts connections, in milliseconds. */
const CHECK_AFTER_MS = 50;
/** Plain endpoints are skipped after this long without a heartbeat or a response, in milliseconds: five heartbeats. */
const HEARTBEAT_TIMEOUT_MS = 6000;
/** Fraction of an endpoint's connections that one gateway may use; several gateways share the endpoint. */
const CONNECTION_FRACTION = 1 / 8;
const MIN_CONNECTIONS = 4;
const UNKNOWN_REQUEST: TypicalRequest = { promptTokens: 0, answerTokens: 0, remainingTokens: 0 };

/** Tracks the endpoints from the facts that control members send, with this gateway's requests in flight at each. */
export class EndpointTracker {
    private readonly registry = new EndpointRegistry({
        expireAfterMs: FORGET_AFTER_MS,
        observerTimeoutMs: OBSERVER_TIMEOUT_MS,
    });
    private readonly endpoints = new Map<string, TrackedEndpoint>();
    /** Lost endpoints of which no fact shows yet whether their process ended by itself, with what ran there. */
    private readonly unexplainedLosses = new Map<string, { crash: EndpointCrash; lostAt: number }>();
    /** Mean time from the begin of a response to its first content, by service, in milliseconds. */
    private readonly headLeadMs = new Map<string, number>();
    /** Scheduled and running checks whether the process of an endpoint has ended. */
    private readonly checks = new Map<TrackedEndpoint, NodeJS.Timeout>();
    /** Incarnations whose responses to this gateway say that they leave. */
    private readonly leaving = new Map<string, DepartureFact>();
    /** Views by the key of their incarnation. */
    private views = new Map<string, EndpointView>();
    /** Pace of the slowest member of each group, by the key of its head. */
    private paceByHead = new Map<string, number>();
    /** Complete, open groups, by their keys. */
    private servingGroups = new Map<string, { head: EndpointView; members: EndpointView[] }>();
    /** Heads of complete, open groups, by service and model. */
    private headsByModel = new Map<string, EndpointView[]>();

    private readonly faults: InputFaultLog;
    private readonly flow = new FactFlow();
    /** Paces the responses of all endpoints. */
    private readonly pacer = new ChunkPacer();

    constructor(private readonly options: EndpointTrackerOptions) {
        this.faults = options.faults ?? new InputFaultLog(options);
    }

    /** Records facts that `writer` has sent; those that can't be used are dropped. */
    record(facts: EndpointFact[], now: number, writer = ""): void {
        let isStateChanged = false;
        const addresses = new Set<string>();
        this.flow.record(now);
        for (const fact of facts) {
            const reason = findFactFault(fact) ?? (this.registry.admit(fact, now) ? undefined : TOO_MANY);
            if (reason !== undefined) {
                this.faults.record({ kind: "endpoint-fact", reason, writer }, now);
                continue;
            }
            const effect = this.registry.record(fact, now);
            isStateChanged ||= effect === FactEffect.State;
            if (effect !== FactEffect.None && fact.kind !== "departure") {
                addresses.add(fact.address);
            }
        }
        if (isStateChanged) {
            this.refresh();
        }
        else {
            addresses.forEach(address => this.refreshLoad(address));
        }
    }

    /** Refreshes the view of the endpoint at an address, of which at most the load has changed. */
    private refreshLoad(address: string): void {
        const fresh = this.registry.findView(address);
        const view = fresh === undefined ? undefined : this.views.get(formatEndpointKey(fresh));
        if (fresh === undefined || view === undefined) {
            return;
        }
        const endpoint = this.endpoints.get(formatEndpointKey(view));
        const isPaceChanged = fresh.engine?.pace !== view.engine?.pace;
        Object.assign(view, fresh);
        if (endpoint !== undefined) {
            recordEngineReport(endpoint.work, view);
        }
        const group = view.engine?.group;
        if (isPaceChanged && group !== undefined) {
            this.refreshPace(formatGroupKey(group.name, group.epoch));
        }
    }

    private refreshPace(groupKey: string): void {
        const group = this.servingGroups.get(groupKey);
        if (group !== undefined) {
            this.paceByHead.set(formatEndpointKey(group.head), findSlowestPace(group.members));
        }
    }

    /** Lists the heads of the complete, open groups of a service that serve a model. */
    listGroupHeads(service: string, model: string): TrackedEndpoint[] {
        return (this.headsByModel.get(`${service}/${model}`) ?? []).flatMap(view =>
            this.getOrCreateEndpoint(view) ?? []
        );
    }

    /** Lists the endpoints of a plain service (one without an engine profile) that accept requests. */
    listPlainEndpoints(service: string, now: number): TrackedEndpoint[] {
        return [...this.views.values()]
            .filter(view => view.service === service && !view.isLeaving && !view.isLost)
            .flatMap(view => this.getOrCreateEndpoint(view) ?? [])
            .filter(endpoint =>
                now - Math.max(endpoint.view.lastSeenAt, endpoint.lastResponseAt) < HEARTBEAT_TIMEOUT_MS
            );
    }

    /**
     * Estimates a group's load: this gateway's requests there, and what its latest report says beyond them. The remaining work
     * of each request is included if `typical` says what others' requests take.
     */
    estimateLoad(endpoint: TrackedEndpoint, typical?: TypicalRequest): GroupLoad {
        const pace = this.paceByHead.get(endpoint.key) ?? endpoint.view.engine?.pace ?? 1;
        const { requests, ...counts } = endpoint.work.estimateGroup(typical ?? UNKNOWN_REQUEST);
        return typical === undefined ? { ...counts, pace } : { ...counts, pace, requests };
    }

    /** Records that a response of an endpoint says that its incarnation leaves. It gets nothing new from now on. */
    recordLeaving(endpoint: TrackedEndpoint, now: number): void {
        const { key, view: { id, bornMs } } = endpoint;
        if (this.leaving.has(key)) {
            return;
        }
        const fact: DepartureFact = { kind: "departure", id, bornMs };
        this.leaving.set(key, fact);
        this.options.logger.info("endpoint-leaving", { endpoint: key, inFlight: endpoint.inFlight.size });
        this.record([fact], now);
        this.options.onLeaving?.(fact);
    }

    /** Lists the incarnations whose responses to this gateway say that they leave, for a control member that may not know. */
    listLeaving(): DepartureFact[] {
        return [...this.leaving.values()];
    }

    /** Records that an endpoint has rejected a request and asked to be sent nothing for `pauseMs`. */
    recordPause(endpoint: TrackedEndpoint, pauseMs: number, now: number): void {
        const wasPaused = endpoint.pause.isPaused(now);
        const unanswered = [...endpoint.inFlight].filter(sent => sent.headAt === undefined).length;
        endpoint.pause.record(pauseMs, unanswered, now);
        if (!wasPaused && endpoint.pause.isPaused(now)) {
            this.options.logger.info("endpoint-paused", {
                endpoint: endpoint.key,
                pauseMs: Math.round(endpoint.pause.getRemainingMs(now)),
                unanswered,
            });
            closeToNew(endpoint);
        }
    }

    /** Takes back the requests of which the endpoints of a data centre have received nothing. */
    takeBack(dataCentre: string): void {
        [...this.endpoints.values()].filter(endpoint => endpoint.view.dataCentre === dataCentre).forEach(closeToNew);
    }

    /** Finds an incarnation, as its id and start time. */
    findView(key: string): EndpointView | undefined {
        return this.views.get(key);
    }

    /** Takes back the requests of which an endpoint has received nothing; they go elsewhere. */
    takeBackUnwritten(key: string): void {
        const endpoint = this.endpoints.get(key);
        if (endpoint !== undefined) {
            closeToNew(endpoint);
        }
    }

    /** Number of endpoints that have asked this gateway to send nothing now. */
    countPaused(now: number): number {
        return [...this.endpoints.values()].filter(endpoint => endpoint.pause.isPaused(now)).length;
    }

    /**
     * Removes what is kept of endpoints that are gone. Control refreshes engines only while they change, so silent ones are
     * kept unless they are lost or leaving.
     */
    removeStale(): void {
        const silentBefore = this.flow.findSilentBefore(FORGET_AFTER_MS);
        if (silentBefore !== undefined) {
            const ids = this.registry.removeSilent(silentBefore, view => this.mustKeep(view, silentBefore));
            if (ids.length > 0) {
                this.options.logger.debug("endpoints-forgotten", { count: ids.length });
                this.refresh();
            }
        }
        for (const key of this.leaving.keys()) {
            if (!this.registry.hasIncarnation(key)) {
                this.leaving.delete(key);
            }
        }
    }

    private mustKeep(view: EndpointView, silentBefore: number): boolean {
        const endpoint = this.endpoints.get(formatEndpointKey(view));
        const isInUse = endpoint !== undefined
            && (endpoint.inFlight.size > 0 || endpoint.lastResponseAt >= silentBefore);
        return isInUse || (view.engine !== undefined && !view.isLost && !view.isLeaving);
    }

    /** Records that the first content of a response has arrived. */
    recordFirstContent(endpoint: TrackedEndpoint, sent: SentRequest, now: number): void {
        sent.firstContentAt = now;
        this.options.onFirstContent?.();
        const { service } = endpoint.view;
        const mean = this.headLeadMs.get(service) ?? 0;
        this.headLeadMs.set(service, mean + EARLY_HEAD_WEIGHT * (now - (sent.headAt ?? now) - mean));
    }

    /** Records that an attempt at an endpoint ended without a complete response. */
    recordBrokenAttempt(endpoint: TrackedEndpoint, sent: SentRequest): void {
        const at = performance.now();
        const { sentAt, headAt, firstContentAt } = sent;
        // Only traits are kept: the request itself may hold a large body.
        const attempt = { at, progress: { sentAt, headAt, firstContentAt }, request: sent.describe() };
        const recent = endpoint.broken.filter(item => at - item.at < BROKEN_WITH_LOSS_MS);
        endpoint.broken = [...recent.slice(1 - MAX_BROKEN), attempt];
        if (!endpoint.view.isObserved && !this.checks.has(endpoint)) {
            this.checks.set(endpoint, setTimeout(() => void this.checkProcess(endpoint), CHECK_AFTER_MS));
        }
    }

    /** Whether an incarnation of an endpoint, as its id and start time, is known. */
    hasEndpoint(key: string): boolean {
        return this.registry.hasIncarnation(key);
    }

    close(): void {
        this.checks.forEach(timer => clearTimeout(timer));
        for (const endpoint of this.endpoints.values()) {
            endpoint.pool.destroy(new Error("stopping"));
        }
    }

    /** Rebuilds the data derived from facts and fails the requests in flight at lost endpoints and broken groups. */
    private refresh(): void {
        const views = this.registry.listViews();
        this.views = new Map(
            [...this.registry.listFormerViews(), ...views].map(view => [formatEndpointKey(view), view]),
        );
        this.headsByModel = new Map();
        this.paceByHead = new Map();
        this.servingGroups = new Map();
        /** Heads of groups that have all their members, leaving or not, and so still complete their requests. */
        const completing = new Set<string>();
        for (const { key, head, members, model, isOpen, isBroken, isDegraded, isStandby } of listEngineGroups(views)) {
            if (head === undefined) {
                continue;
            }
            const headKey = formatEndpointKey(head);
            if (!isBroken) {
                completing.add(headKey);
            }
            if (isOpen && !isDegraded && !isStandby) {
                const modelKey = `${head.service}/${model}`;
                this.headsByModel.set(modelKey, [...this.headsByModel.get(modelKey) ?? [], head]);
                this.servingGroups.set(key, { head, members });
                this.paceByHead.set(headKey, findSlowestPace(members));
            }
        }
        [...this.unexplainedLosses.keys()].forEach(key => this.explainLoss(key, this.views.get(key)));
        for (const [key, endpoint] of this.endpoints) {
            const view = this.views.get(key);
            if (view?.isLossAnnounced === true) {
                closeToNew(endpoint);
            }
            if (view === undefined || (view.isLost && !(view.isLossAnnounced && endpoint.inFlight.size > 0))) {
                this.dropEndpoint(key, endpoint, view);
                continue;
            }
            if (view.isLossAnnounced) {
                continue;
            }
            const hasBegunToLeave = view.isLeaving && !endpoint.view.isLeaving;
            (endpoint as { view: EndpointView }).view = view;
            recordEngineReport(endpoint.work, view);
            if (hasBegunToLeave) {
                closeToNew(endpoint);
            }
            if (view.engine !== undefined && !completing.has(key)) {
                [...endpoint.inFlight].forEach(request => request.onLost("its group no longer serves", false));
            }
        }
    }

    private dropEndpoint(key: string, endpoint: TrackedEndpoint, view: EndpointView | undefined): void {
        this.endpoints.delete(key);
        endpoint.hasEnded = true;
        this.unexplainedLosses.set(key, { crash: this.buildCrash(endpoint), lostAt: performance.now() });
        this.explainLoss(key, view);
        [...endpoint.inFlight].forEach(request => request.onLost("its endpoint is lost", true));
        endpoint.pool.close();
    }

    /** Reports a loss as a crash once a fact shows that the process has ended by itself; other facts may come before. */
    private explainLoss(key: string, view: EndpointView | undefined): void {
        const loss = this.unexplainedLosses.get(key);
        if (loss !== undefined && view?.hasProcessEnded === true && !view.isLeaving) {
            this.unexplainedLosses.delete(key);
            this.reportCrash(loss.crash);
        }
        else if (loss !== undefined && performance.now() - loss.lostAt > EXPLAIN_WITHIN_MS) {
            this.unexplainedLosses.delete(key);
        }
    }

    /** Checks an endpoint that no sidecar observes: its process has ended if connections are refused. */
    private async checkProcess(endpoint: TrackedEndpoint): Promise<void> {
        const { isRefusing = isRefusingConnections } = this.options;
        const hasEnded = !endpoint.hasEnded && await isRefusing(endpoint.view.address).catch(() => false);
        this.checks.delete(endpoint);
        if (hasEnded && !endpoint.view.isLeaving) {
            endpoint.hasEnded = true;
            this.reportCrash(this.buildCrash(endpoint));
        }
    }

    /** Lists what ran on an endpoint that is lost: its connections mostly close before the loss is known. */
    private buildCrash(endpoint: TrackedEndpoint): EndpointCrash {
        const now = performance.now();
        const broken = endpoint.broken.filter(attempt => now - attempt.at < BROKEN_WITH_LOSS_MS);
        const inFlight = [...endpoint.inFlight];
        const at = broken.at(-1)?.at ?? now;
        this.options.logger.info("endpoint-lost", {
            endpoint: endpoint.key,
            inFlight: inFlight.length,
            brokenBefore: broken.length,
            sinceBrokenMs: broken.length === 0 ? undefined : Math.round(now - at),
        });
        const beginsEarly = (this.headLeadMs.get(endpoint.view.service) ?? 0) > EARLY_HEAD_MS;
        const attempts: Omit<BrokenAttempt, "at">[] = [
            ...broken,
            ...inFlight.map(sent => ({ progress: sent, request: sent.describe() })),
        ];
        const requests = attempts.map(({ progress, request }) => ({
            ...request,
            sentBeforeMs: at - progress.sentAt,
            stage: computeStage(progress, at, beginsEarly),
        }));
        return { endpoint: endpoint.key, service: endpoint.view.service, at, requests };
    }

    private reportCrash(crash: EndpointCrash): void {
        if (crash.requests.length > 0) {
            this.options.onCrash?.(crash);
        }
    }

    /** Returns `undefined` for an endpoint to which no connections can be made: the others hold. */
    private getOrCreateEndpoint(view: EndpointView): TrackedEndpoint | undefined {
        const key = formatEndpointKey(view);
        const known = this.endpoints.get(key);
        if (known !== undefined) {
            return known;
        }
        try {
            const endpoint = this.createEndpoint(key, view);
            this.endpoints.set(key, endpoint);
            return endpoint;
        }
        catch (error) {
            const message = describeError(error);
            this.faults.record({ kind: "endpoint", reason: "no connections can be made", writer: key, message });
            return undefined;
        }
    }

    private createEndpoint(key: string, view: EndpointView): TrackedEndpoint {
        const maxConnections = this.options.getService(view.service)?.maxConnections ?? MIN_CONNECTIONS;
        const work = new EndpointWork<SentRequest>(view.bornMs);
        recordEngineReport(work, view);
        return {
            key,
            view,
            pool: new EndpointPool(
                view.address,
                Math.max(MIN_CONNECTIONS, Math.floor(maxConnections * CONNECTION_FRACTION)),
                this.pacer,
            ),
            health: new EndpointHealth(),
            pause: new EndpointPause(),
            inFlight: new Set(),
            work,
            broken: [],
            hasEnded: false,
            lastResponseAt: 0,
            avoidUntil: 0,
            reportedLoad: undefined,
        };
    }
}

/**
 * Computes how far an attempt had come at the time of a crash. That a response has begun tells something only if
 * endpoints begin it as they begin to run the request (`beginsEarly`), rather than with its first content.
 */
function computeStage(progress: AttemptProgress, at: number, beginsEarly: boolean): AttemptStageValue {
    const contentMs = progress.firstContentAt === undefined ? 0 : at - progress.firstContentAt;
    if (beginsEarly && progress.headAt !== undefined && contentMs < STARTING_MS) {
        return AttemptStage.Starting;
    }
    return contentMs < RUNNING_AFTER_MS ? AttemptStage.Unknown : AttemptStage.Running;
}

function findSlowestPace(members: EndpointView[]): number {
    return Math.max(...members.map(member => member.engine?.pace ?? 1));
}

/** Takes back the requests of which the endpoint has received nothing. */
function closeToNew(endpoint: TrackedEndpoint): void {
    [...endpoint.inFlight].forEach(request => request.onClosed());
}

function formatEndpointKey(view: EndpointView): string {
    return `${view.id}@${view.bornMs}`;
}
