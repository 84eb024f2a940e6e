import { attachPacer, ChunkPacer } from "@kumquathall/byte-collector";
import { ControlDirectory } from "@kumquathall/control-directory";
import { DemandMeter, DemandTotals } from "@kumquathall/demand";
import { findColdFault, findCrashFault, findLimitFault } from "@kumquathall/endpoint-registry";
import { describeError } from "@kumquathall/errors";
import {
    createIdentity,
    createInputFaultLog,
    createLinkFaultHandler,
    type RoleContext,
    type RunningRole,
    selectUsable,
    StartSteps,
} from "@kumquathall/kernel";
import { type Link, parseAddress } from "@kumquathall/link";
import type { InputFaultLog } from "@kumquathall/logger";
import type {
    ColdFact,
    ConfigurationUpdate,
    ControlAnswer,
    CrashEvidenceFact,
    DemandTotalsCast,
    EndpointFact,
    HeartbeatFact,
    LimitFact,
    PermitGrant,
    PermitWant,
    RevisionCast,
} from "@kumquathall/types";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { CallerConnections, CloseReason } from "./callerConnections.js";
import { type ColdBounds, ColdEndpoints } from "./coldEndpoints.js";
import { CrashReporter } from "./crashReporter.js";
import { EndpointLimits } from "./endpointLimits.js";
import { EndpointTracker } from "./endpointTracker.js";
import type { EvacuationChange } from "./evacuations.js";
import { Forwarder } from "./forwarder.js";
import { GatewayStop } from "./gatewayStop.js";
import { type HttpHeaderCodec, MAX_HEADER_BYTES } from "./httpHeaderCodec.js";
import { type GatewayMetrics, registerGatewayMetrics } from "./metrics.js";
import { PermitClient } from "./permitClient.js";
import { QuarantineList } from "./quarantineList.js";
import type { RouteTable } from "./routeTable.js";
import { canAcceptWhileStopping, planStop, type StopPlan } from "./stopPlan.js";
import { TrafficConfigurationReader } from "./trafficConfigurationReader.js";

export interface GatewaySettings {
    /** Address (host:port) at which callers connect. */
    listen: string;
    /** Address (host:port) of the readiness check. */
    readyListen: string;
    /** Addresses at which control members listen for links. */
    seeds: string[];
    /** Regions by data centre; by default none is known. */
    regions?: Record<string, string>;
    /** Time limit from the stop signal to the end of the process, in milliseconds. */
    stopWithinMs: number;
    /**
     * Retries that all gateways together may send to a service in a window of `windowMs`: `ratio` for each request, plus
     * `slack`.
     */
    retryBudget: { ratio: number; slack: number; windowMs: number };
    /** Bounds on what a cold endpoint may receive; 1.5 times its rate and 5 requests if not set. */
    coldBounds?: ColdBounds;
}

type ControlCast =
    | RevisionCast
    | { kind: "endpointFacts"; facts: EndpointFact[] }
    | { kind: "crashEvidence"; facts: CrashEvidenceFact[] }
    | { kind: "endpointLimits"; facts: LimitFact[] }
    | DemandTotalsCast
    | { kind: "coldEndpoints"; facts: ColdFact[] };

const STALE_CHECK_MS = 5000;
const DEMAND_INTERVAL_MS = 1000;
/** Callers reuse idle connections up to the configured limit; the server keeps them open this much longer. */
const IDLE_MARGIN_MS = 2000;

/** Role that accepts callers' HTTP requests and forwards them to endpoints. */
export class GatewayRole implements RunningRole {
    private readonly directory: ControlDirectory;
    private readonly faults: InputFaultLog;
    private readonly reader: TrafficConfigurationReader;
    private readonly metrics: GatewayMetrics;
    private readonly quarantine: QuarantineList;
    private readonly crashReporter: CrashReporter;
    private readonly tracker: EndpointTracker;
    private readonly cold: ColdEndpoints;
    private readonly limits: EndpointLimits;
    /** Links of control members that have sent what they know of the endpoints. */
    private readonly informed = new Set<Link>();
    private readonly forwarder: Forwarder;
    private readonly server: Server;
    private readonly connections: CallerConnections;
    private readonly readyServer: Server;
    private readonly staleTimer: NodeJS.Timeout;
    private readonly demand = new DemandMeter(performance.now());
    /** The work that callers offer to all gateways. */
    private readonly demandTotals = new DemandTotals();
    private readonly demandTimer: NodeJS.Timeout;
    private readonly steps: StartSteps;
    /** Paces the bodies of all callers. */
    private readonly pacer = new ChunkPacer();
    /** The stop under way. */
    private stop: GatewayStop | undefined;
    private readonly stopPlan: StopPlan;

    private constructor(
        private readonly context: RoleContext,
        settings: GatewaySettings,
        private readonly codec: HttpHeaderCodec,
    ) {
        const { logger } = context;
        const faults = createInputFaultLog(context);
        const regions = new Map(Object.entries(settings.regions ?? {}));
        this.faults = faults;
        this.steps = new StartSteps(logger);
        this.metrics = registerGatewayMetrics(context.metrics, {
            countLimited: () => this.limits.count(performance.now()),
            countCold: () => this.cold.count(),
            countPaused: () => this.tracker.countPaused(performance.now()),
            countEvacuated: () => this.reader.countEvacuated(),
            countHeldBytes: () => this.forwarder.countHeldBytes(),
            listReturns: () => this.forwarder.listReturns(performance.now()),
        });
        this.stopPlan = planStop(settings.stopWithinMs);
        this.quarantine = new QuarantineList(logger);
        this.crashReporter = new CrashReporter({
            id: context.settings.id,
            sendAll: facts => this.directory.castAll({ kind: "crashEvidence", facts }),
        });
        this.reader = new TrafficConfigurationReader({
            logger,
            onChange: table => this.applyTable(table),
            onUpdate: update => this.applyQuarantine(update),
            onEvacuations: changes => this.applyEvacuations(changes),
        });
        this.tracker = new EndpointTracker({
            getService: name => this.reader.getTable()?.getService(name),
            logger,
            faults,
            onCrash: crash => this.crashReporter.reportCrash(crash, performance.now()),
            onFirstContent: () => this.steps.record("first-answer"),
            onLeaving: fact => this.directory.castAll({ kind: "endpointFacts", facts: [fact] }),
        });
        this.cold = new ColdEndpoints({
            logger,
            findView: key => this.tracker.findView(key),
            getService: name => this.reader.getTable()?.getService(name),
            isDeclared: () => this.reader.getTable()?.hasColdService() === true,
            hasContact: () => [...this.informed].some(link => link.isOpen()),
            countGateways: () => this.directory.countGateways(),
            sendAll: facts => this.directory.castAll({ kind: "coldEndpoints", facts }),
            onCold: key => this.handleCold(key),
            bounds: settings.coldBounds,
        });
        const permits = new PermitClient(() => this.directory.listLinks());
        this.limits = new EndpointLimits({
            logger,
            sendAll: facts => this.directory.castAll({ kind: "endpointLimits", facts }),
            takePermits: async wants => {
                const grants = await permits.take(wants);
                this.countPermits(wants, grants);
                return grants;
            },
            countGateways: () => this.directory.countGateways(),
            cold: this.cold,
        });
        this.server = createServer(
            { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: 60_000, requestTimeout: 0 },
            (request, response) => this.handle(request, response),
        );
        this.connections = new CallerConnections({
            server: this.server,
            logger,
            metrics: this.metrics,
            isStopping: () => this.stop !== undefined,
        });
        this.staleTimer = setInterval(() => this.removeStale(), STALE_CHECK_MS);
        this.demandTimer = setInterval(() => this.reportDemand(), DEMAND_INTERVAL_MS);
        this.forwarder = new Forwarder({
            tracker: this.tracker,
            limits: this.limits,
            connections: this.connections,
            codec,
            logger,
            metrics: this.metrics,
            getTable: () => this.reader.getTable(),
            getRegion: dataCentre => regions.get(dataCentre),
            isConfigurationBehind: () => this.reader.isBehind(performance.now()),
            isStopping: () => this.stop !== undefined,
            canAccept: maxDurationMs =>
                this.stop === undefined
                || canAcceptWhileStopping(this.stopPlan, this.stop.getElapsedMs(), maxDurationMs),
            canComplete: durationMs =>
                this.stop === undefined
                || canAcceptWhileStopping(this.stopPlan, this.stop.getElapsedMs(), durationMs),
            onFirstRequest: () => {
                this.steps.record("first-request");
                this.announceTraffic();
            },
            quarantine: this.quarantine,
            crashReporter: this.crashReporter,
            demand: this.demand,
            countGateways: () => this.directory.countGateways(),
            retrySlack: settings.retryBudget.slack,
            retryRatio: settings.retryBudget.ratio,
            retryWindowMs: settings.retryBudget.windowMs,
        });
        this.readyServer = createServer((request, response) => this.handleReadinessCheck(request, response));
        this.directory = new ControlDirectory({
            identity: createIdentity(context, "gateway"),
            seeds: settings.seeds,
            handlers: {
                onOpen: link => this.attachLink(link),
                onClose: link => {
                    this.informed.delete(link);
                    this.reader.removeLink(link);
                },
                onCast: (message, link) => this.handleCast(message as ControlCast, link),
                onFault: createLinkFaultHandler(faults),
            },
            logger,
        });
    }

    static async start(
        context: RoleContext,
        settings: GatewaySettings,
        codec: HttpHeaderCodec,
    ): Promise<GatewayRole> {
        const role = new GatewayRole(context, settings, codec);
        await listen(role.server, settings.listen);
        await listen(role.readyServer, settings.readyListen);
        return role;
    }

    setSeeds(seeds: string[]): void {
        this.directory.setSeeds(seeds);
    }

    isReady(): boolean {
        return this.stop === undefined && this.reader.getTable() !== undefined
            && !this.reader.isBehind(performance.now());
    }

    countInFlight(): Record<string, number> {
        return { requests: this.connections.countUnfinished() };
    }

    /** Fails the readiness check, serves requests that still arrive, and resolves when all have ended or time is up. */
    async drain(): Promise<void> {
        const { stopPlan: plan, connections, forwarder } = this;
        this.stop = new GatewayStop({ plan, connections, forwarder });
        await this.stop.complete();
    }

    close(): Promise<void> {
        this.reader.close();
        this.directory.close();
        this.tracker.close();
        this.limits.close();
        this.cold.close();
        clearInterval(this.staleTimer);
        clearInterval(this.demandTimer);
        this.connections.closeAll(CloseReason.StopEnded);
        this.server.close();
        this.readyServer.close();
        this.readyServer.closeAllConnections();
        this.readyServer.closeAllConnections();
        return Promise.resolve();
    }

    private removeStale(): void {
        this.limits.removeStale(key => this.tracker.hasEndpoint(key), performance.now());
        this.cold.removeStale(performance.now());
        this.tracker.removeStale();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        // Node ends the process on an error event without a listener. The response's close event handles disconnects.
        request.on("error", error => this.context.logger.debug("caller-error", { message: error.message }));
        response.on("error", error => this.context.logger.debug("caller-error", { message: error.message }));
        attachPacer(request, this.pacer);
        if (this.connections.addRequest(request, response)) {
            this.forwarder.forward(request, response);
        }
    }

    private countPermits(wants: PermitWant[], grants: PermitGrant[]): void {
        const sum = (items: { count: number }[]) => items.reduce((total, item) => total + item.count, 0);
        this.metrics.permits.inc({ outcome: "granted" }, sum(grants));
        this.metrics.permits.inc({ outcome: "refused" }, sum(wants) - sum(grants));
    }

    private handleReadinessCheck(request: IncomingMessage, response: ServerResponse): void {
        if (request.url !== this.codec.readyPath) {
            response.writeHead(404).end();
            return;
        }
        response.writeHead(this.isReady() ? 200 : 503, { "content-length": "0" }).end();
    }

    private applyTable(table: RouteTable): void {
        this.steps.record("configuration");
        const limits = table.getLimits();
        if (limits === undefined) {
            return;
        }
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.connections.applyIdleLimit(limits.idleTimeoutMs + IDLE_MARGIN_MS);
    }

    private applyQuarantine(update: ConfigurationUpdate): void {
        this.quarantine.apply(update);
        for (const [subject, count] of this.quarantine.countBySubject()) {
            this.metrics.quarantined.set({ subject }, count);
        }
    }

    /** Endpoints of a data centre that returns may have become cold just before, which no heartbeat has said yet. */
    private applyEvacuations(changes: EvacuationChange[]): void {
        for (const { dataCentre, isEvacuated } of changes) {
            if (isEvacuated) {
                this.tracker.takeBack(dataCentre);
            }
            else {
                this.cold.recordReturn(dataCentre, performance.now());
            }
        }
    }

    private attachLink(link: Link): void {
        this.steps.record("control-linked");
        // A restarted control process does not know that callers have been served.
        if (this.forwarder.hasReceivedRequests()) {
            link.cast({ kind: "trafficSeen" });
        }
        // A member that restarted knows none of the crashes that were reported before.
        const reports = this.crashReporter.listReports(performance.now());
        if (reports.length > 0) {
            link.cast({ kind: "crashEvidence", facts: reports });
        }
        const leaving = this.tracker.listLeaving();
        if (leaving.length > 0) {
            link.cast({ kind: "endpointFacts", facts: leaving });
        }
        const limits = this.limits.listFacts(performance.now());
        if (limits.length > 0) {
            link.cast({ kind: "endpointLimits", facts: limits });
        }
        void this.reader.watch(link);
        link.call({ kind: "watchEndpoints" })
            .then(answer => this.recordFacts(answer as ControlAnswer, link))
            .catch(error => link.close(`no endpoints: ${describeError(error)}`));
    }

    private recordFacts(answer: ControlAnswer, link: Link): void {
        if (answer.kind === "endpoints") {
            this.recordEndpoints(answer.facts, link);
            if (link.isOpen()) {
                this.informed.add(link);
            }
        }
    }

    private recordEndpoints(facts: EndpointFact[], link: Link): void {
        const now = performance.now();
        this.tracker.record(facts, now, link.peer?.id);
        for (const fact of facts) {
            if (isColdHeartbeat(fact)) {
                this.cold.check(`${fact.id}@${fact.bornMs}`, now);
            }
        }
    }

    /** Requests that wait for a connection to an endpoint that has become cold go elsewhere. */
    private handleCold(key: string): void {
        this.limits.restartPermits(key, performance.now());
        // Later, as the endpoint may be found to be cold while another request chooses.
        queueMicrotask(() => this.tracker.takeBackUnwritten(key));
    }

    private handleCast(message: ControlCast, link: Link): void {
        const selection = { faults: this.faults, writer: link.peer?.id ?? "" };
        if (message.kind === "revision") {
            this.reader.recordRevision(link, message.revision);
        }
        else if (message.kind === "endpointFacts") {
            this.steps.record("first-endpoint");
            this.recordEndpoints(message.facts, link);
        }
        else if (message.kind === "coldEndpoints") {
            this.cold.record(
                selectUsable({ ...selection, kind: "cold-endpoint", facts: message.facts, findFault: findColdFault }),
                performance.now(),
            );
        }
        else if (message.kind === "endpointLimits") {
            this.limits.record(
                selectUsable({ ...selection, kind: "endpoint-limit", facts: message.facts, findFault: findLimitFault }),
                performance.now(),
            );
        }
        else if (message.kind === "demandTotals") {
            this.recordTotals(message, selection.writer);
        }
        else {
            this.crashReporter.recordFacts(
                selectUsable({ ...selection, kind: "crash-evidence", facts: message.facts, findFault: findCrashFault }),
                performance.now(),
            );
        }
    }

    private reportDemand(): void {
        const report = this.demand.collect(performance.now());
        if (report !== undefined) {
            this.directory.castAll(report);
        }
    }

    private recordTotals(totals: DemandTotalsCast, writer: string): void {
        const now = performance.now();
        const reason = this.demandTotals.record(totals, now);
        if (reason === undefined) {
            this.forwarder.recordTotals(totals.items, now);
        }
        else {
            this.faults.record({ kind: "demand-totals", reason, writer });
        }
    }

    private announceTraffic(): void {
        this.directory.castAll({ kind: "trafficSeen" });
    }
}

/** Also called with facts that can't be used, which may be no objects. */
function isColdHeartbeat(fact: EndpointFact | null): fact is HeartbeatFact {
    return fact?.kind === "heartbeat" && fact.coldMs !== undefined;
}

async function listen(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host, backlog: 1024 }, () => resolve());
    });
}
