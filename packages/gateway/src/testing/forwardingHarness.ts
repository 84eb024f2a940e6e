import { DemandMeter } from "@kumquathall/demand";
import { createLogger } from "@kumquathall/logger";
import { type EngineProfile, RequestKind, type TrafficRoute } from "@kumquathall/types";
import { createServer, type Server } from "node:http";
import { Registry } from "prom-client";
import { CallerConnections, CloseReason } from "../callerConnections.js";
import { CrashReporter } from "../crashReporter.js";
import { EndpointLimits } from "../endpointLimits.js";
import { EndpointTracker } from "../endpointTracker.js";
import { Forwarder } from "../forwarder.js";
import { GatewayStop } from "../gatewayStop.js";
import { registerGatewayMetrics } from "../metrics.js";
import { QuarantineList } from "../quarantineList.js";
import { RouteTable } from "../routeTable.js";
import { canAcceptWhileStopping, planStop, type StopPlan } from "../stopPlan.js";
import { CallerSocket } from "./callerSocket.js";
import { PlainHeaderCodec } from "./plainHeaderCodec.js";
import { ScriptedEndpoint } from "./scriptedEndpoint.js";

/** Fake timers and clocks; immediates must be real, so that they run after the I/O of their turn. */
export interface VirtualClock {
    tickAsync(ms: number): Promise<unknown>;
    /** Advances the clock at once; the timers that become due run late. */
    jump(ms: number): unknown;
}

export interface ForwardingHarnessOptions {
    clock: VirtualClock;
    endpoints: number;
    /** Data centres of the endpoints; by default all are in the same one. */
    dataCentres?: string[];
    /** Retries that the gateway may send in a window, beyond the first. */
    retrySlack?: number;
    /** Retries for each first attempt. */
    retryRatio?: number;
    route?: Partial<TrafficRoute>;
    /** Makes the service one of engines; none of them heads a group. */
    engine?: EngineProfile;
}

/** Name of the service that all endpoints belong to. */
export const SERVICE = "s";
const HOST = "h.example";
/** Turns of the event loop in which messages between streams arrive. */
const TURNS = 6;
/** Virtual time between two turns in which messages arrive, in milliseconds. */
const STEP_MS = 50;

/** A gateway's forwarding in virtual time, without a network: callers and endpoints are scripted by the test. */
export class ForwardingHarness {
    readonly endpoints: ScriptedEndpoint[];
    readonly lines: string[] = [];
    readonly connections: CallerConnections;
    readonly forwarder: Forwarder;
    readonly tracker: EndpointTracker;
    readonly table: RouteTable;
    readonly demand = new DemandMeter(performance.now());
    isStopping = false;
    private stopPlan: { plan: StopPlan; startedAt: number } | undefined;
    private readonly registry = new Registry();
    private readonly server: Server;
    private readonly callers: CallerSocket[] = [];
    private requests = 0;

    constructor(private readonly options: ForwardingHarnessOptions) {
        const logger = createLogger({ write: line => this.lines.push(line) });
        const metrics = registerGatewayMetrics(this.registry, {
            countLimited: () => 0,
            countPaused: () => 0,
            countEvacuated: () => 0,
            countHeldBytes: () => this.forwarder.countHeldBytes(),
            listReturns: () => [],
        });
        const table = buildTable(options.route, options.engine);
        this.table = table;
        this.tracker = new EndpointTracker({ getService: name => table.getService(name), logger });
        this.endpoints = Array.from(
            { length: options.endpoints },
            (_, at) => ScriptedEndpoint.register(this.tracker, SERVICE, `e${at + 1}`, options.dataCentres?.[at]),
        );
        this.server = createServer({ requestTimeout: 0 }, (request, response) => {
            if (this.connections.addRequest(request, response)) {
                this.forwarder.forward(request, response);
            }
        });
        // From then on, Node lists the connections of a server.
        this.server.emit("listening");
        this.connections = new CallerConnections({
            server: this.server,
            logger,
            metrics,
            isStopping: () => this.isStopping,
        });
        this.forwarder = new Forwarder({
            tracker: this.tracker,
            limits: new EndpointLimits({
                logger,
                sendAll: () => undefined,
                takePermits: () => Promise.resolve([]),
                countGateways: () => 1,
            }),
            connections: this.connections,
            codec: new PlainHeaderCodec(),
            logger,
            metrics,
            getTable: () => table,
            getRegion: () => undefined,
            isConfigurationBehind: () => false,
            isStopping: () => this.isStopping,
            canAccept: () => true,
            canComplete: durationMs => this.canComplete(durationMs),
            onFirstRequest: () => undefined,
            quarantine: new QuarantineList(logger),
            crashReporter: new CrashReporter({ id: "g", sendAll: () => undefined }),
            demand: this.demand,
            countGateways: () => 1,
            retrySlack: options.retrySlack ?? 0,
            retryRatio: options.retryRatio ?? 0,
            retryWindowMs: 10_000,
        });
    }

    /** Begins to stop as on a signal, within `stopWithinMs`, and closes what is left. */
    async stop(stopWithinMs: number): Promise<void> {
        this.isStopping = true;
        const { connections, forwarder } = this;
        const plan = planStop(stopWithinMs);
        this.stopPlan = { plan, startedAt: performance.now() };
        await new GatewayStop({ plan, connections, forwarder }).complete();
        this.connections.closeAll(CloseReason.StopEnded);
        this.server.close();
    }

    private canComplete(durationMs: number): boolean {
        const { stopPlan } = this;
        return stopPlan === undefined
            || canAcceptWhileStopping(stopPlan.plan, performance.now() - stopPlan.startedAt, durationMs);
    }

    /** Reports that a connection has reached the idle limit, as Node does. */
    async reportIdle(caller: CallerSocket): Promise<void> {
        this.server.emit("timeout", caller);
        await this.settle();
    }

    /** Reads the sum of a counter. */
    async readCounter(name: string): Promise<number> {
        const { values } = await this.registry.getSingleMetric(name)?.get() ?? { values: [] };
        return values.reduce((sum, item) => sum + item.value, 0);
    }

    /** Opens a caller's connection. */
    openConnection(): CallerSocket {
        const caller = new CallerSocket();
        this.callers.push(caller);
        this.server.emit("connection", caller);
        return caller;
    }

    /** Sends a request and waits until the gateway has it. */
    async sendRequest(caller: CallerSocket, headers: Record<string, string> = {}, body = ""): Promise<void> {
        const lines = Object.entries({ host: HOST, "request-id": `r-${++this.requests}`, ...headers });
        const head = ["POST /a/ HTTP/1.1", ...lines.map(([name, value]) => `${name}: ${value}`), "", ""];
        caller.send(head.join("\r\n") + body);
        await this.settle();
    }

    /** Advances the clock and lets everything that becomes due happen. */
    async advance(ms: number): Promise<void> {
        for (let left = ms; left > 0; left -= STEP_MS) {
            await this.options.clock.tickAsync(Math.min(left, STEP_MS));
            await this.settle();
        }
    }

    /** Stands still: the clock advances, and the timers that become due run before any input. */
    advanceAtOnce(ms: number): void {
        this.options.clock.jump(ms);
    }

    /** Lets messages between streams arrive. */
    async settle(): Promise<void> {
        for (let turn = 0; turn < TURNS; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    close(): void {
        this.callers.forEach(caller => caller.destroy());
        this.server.close();
        this.tracker.close();
    }
}

function buildTable(route: Partial<TrafficRoute> = {}, engine?: EngineProfile): RouteTable {
    const table = new RouteTable();
    table.apply({
        since: 0,
        revision: 1,
        isSnapshot: true,
        changes: [
            {
                key: "traffic",
                revision: 1,
                value: {
                    kind: "traffic",
                    version: 1,
                    services: [{ name: SERVICE, maxConnections: 100, engine }],
                    limits: {
                        maxHeaderBytes: 16_384,
                        maxBodyBytes: 65_536,
                        headerTimeoutMs: 3000,
                        idleTimeoutMs: 15_000,
                    },
                },
            },
            { key: "traffic/route/r", revision: 1, value: { kind: "trafficRoute", route: buildRoute(route) } },
        ],
    });
    return table;
}

function buildRoute(route: Partial<TrafficRoute>): TrafficRoute {
    return {
        name: "r",
        host: HOST,
        pathPrefix: "/a/",
        kind: RequestKind.Streaming,
        timeoutMs: 8000,
        objectiveMs: 400,
        gapObjectiveMs: 300,
        priority: 1,
        targets: [{ service: SERVICE, weight: 1 }],
        maxEndpoints: 2,
        isPublic: true,
        isResumable: true,
        ...route,
    };
}
