import { ControlDirectory } from "@kumquathall/control-directory";
import { describeError } from "@kumquathall/errors";
import { createIdentity, type RoleContext, type RunningRole } from "@kumquathall/kernel";
import { type Link, parseAddress } from "@kumquathall/link";
import type { ConfigurationUpdate, ControlAnswer, EndpointFact } from "@kumquathall/types";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { EndpointBook } from "./endpointBook.js";
import { Forwarder } from "./forwarder.js";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import { registerGatewayMetrics } from "./metrics.js";
import type { RouteTable } from "./routeTable.js";
import { canTakeWhileStopping, planStop, type StopPlan } from "./stopPlan.js";
import { TrafficReader } from "./trafficReader.js";

export interface GatewaySettings {
    /** Address for callers. */
    listen: string;
    /** Address of the readiness check. */
    readyListen: string;
    seeds: string[];
    /** Time between the stop signal and the end of the process, in milliseconds. */
    stopWithinMs: number;
    /** Repeats to a service that all gateways together may send: `ratio` for each request, and `slack`, in a window. */
    retryBudget: { ratio: number; slack: number };
}

type ControlCast =
    | { kind: "update"; update: ConfigurationUpdate }
    | { kind: "endpointFacts"; facts: EndpointFact[] };

const DRAIN_CHECK_MS = 50;
/** Largest header block that is parsed, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Callers reuse a connection up to the idle limit; the server keeps it a little longer, in milliseconds. */
const IDLE_MARGIN_MS = 2000;

/** Serves callers from endpoints over HTTP. */
export class GatewayRole implements RunningRole {
    private readonly directory: ControlDirectory;
    private readonly reader: TrafficReader;
    private readonly book: EndpointBook;
    private readonly forwarder: Forwarder;
    private readonly server: Server;
    private readonly readyServer: Server;
    private stoppingSince: number | undefined;
    private readonly stopPlan: StopPlan;

    private constructor(
        private readonly context: RoleContext,
        settings: GatewaySettings,
        private readonly dialect: HttpHeaderCodec,
    ) {
        const { logger } = context;
        this.stopPlan = planStop(settings.stopWithinMs);
        this.reader = new TrafficReader(logger, table => this.applyTable(table));
        this.book = new EndpointBook(name => this.reader.getTable()?.getService(name));
        this.forwarder = new Forwarder({
            book: this.book,
            dialect,
            logger,
            metrics: registerGatewayMetrics(context.metrics),
            getTable: () => this.reader.getTable(),
            isStopping: () => this.stoppingSince !== undefined,
            canTake: mayNeedMs =>
                this.stoppingSince === undefined
                || canTakeWhileStopping(this.stopPlan, performance.now() - this.stoppingSince, mayNeedMs),
            onFirstRequest: () => this.announceTraffic(),
            onCrash: fact => {
                this.book.record([fact], performance.now());
                this.directory.castAll({ kind: "endpointFacts", facts: [fact] });
            },
            countGateways: () => this.directory.countGateways(),
            retrySlack: settings.retryBudget.slack,
            retryRatio: settings.retryBudget.ratio,
        });
        this.server = createServer(
            { maxHeaderSize: MAX_HEADER_BYTES, keepAliveTimeout: 60_000, requestTimeout: 0 },
            (request, response) => this.handle(request, response),
        );
        this.readyServer = createServer((request, response) => this.answerReady(request, response));
        this.directory = new ControlDirectory({
            identity: createIdentity(context, "gateway"),
            seeds: settings.seeds,
            handlers: {
                onOpen: link => this.follow(link),
                onCast: message => this.handleCast(message as ControlCast),
            },
            logger,
        });
    }

    static async start(
        context: RoleContext,
        settings: GatewaySettings,
        dialect: HttpHeaderCodec,
    ): Promise<GatewayRole> {
        const role = new GatewayRole(context, settings, dialect);
        await listen(role.server, settings.listen);
        await listen(role.readyServer, settings.readyListen);
        return role;
    }

    setSeeds(seeds: string[]): void {
        this.directory.setSeeds(seeds);
    }

    isReady(): boolean {
        return this.stoppingSince === undefined && this.reader.getTable() !== undefined;
    }

    /** Fails the readiness check, serves what still arrives, and ends once nothing is under way. */
    async drain(): Promise<void> {
        const startedAt = performance.now();
        this.stoppingSince = startedAt;
        for (;;) {
            const sinceMs = performance.now() - startedAt;
            const isTurnedAway = sinceMs > this.stopPlan.takeAllUntilMs;
            if (sinceMs >= this.stopPlan.endMs || (isTurnedAway && this.forwarder.countActive() === 0)) {
                return;
            }
            if (isTurnedAway) {
                // Callers that kept a connection without using it learn of the stop by its end.
                this.server.closeIdleConnections();
            }
            await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_MS));
        }
    }

    close(): Promise<void> {
        this.directory.close();
        this.book.close();
        this.server.close();
        this.readyServer.close();
        this.server.closeAllConnections();
        this.readyServer.closeAllConnections();
        return Promise.resolve();
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        // Node ends the process on an error event that nobody hears; the response's close event tells all that matters.
        request.on("error", error => this.context.logger.debug("caller-error", { message: error.message }));
        response.on("error", error => this.context.logger.debug("caller-error", { message: error.message }));
        this.forwarder.forward(request, response);
    }

    private answerReady(request: IncomingMessage, response: ServerResponse): void {
        if (request.url !== this.dialect.readyPath) {
            response.writeHead(404).end();
            return;
        }
        response.writeHead(this.isReady() ? 200 : 503, { "content-length": "0" }).end();
    }

    private applyTable(table: RouteTable): void {
        const { limits } = table.configuration;
        this.server.headersTimeout = limits.headerTimeoutMs;
        this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    }

    private follow(link: Link): void {
        // A control process that has started again knows of no traffic.
        if (this.forwarder.hasSeenRequest()) {
            link.cast({ kind: "trafficSeen" });
        }
        void this.reader.subscribe(link);
        link.call({ kind: "watchEndpoints" })
            .then(answer => this.takeFacts(answer as ControlAnswer))
            .catch(error => link.close(`no endpoints: ${describeError(error)}`));
    }

    private takeFacts(answer: ControlAnswer): void {
        if (answer.kind === "endpoints") {
            this.book.record(answer.facts, performance.now());
        }
    }

    private handleCast(message: ControlCast): void {
        if (message.kind === "update") {
            this.reader.apply(message.update);
        }
        else if (message.kind === "endpointFacts") {
            this.book.record(message.facts, performance.now());
        }
    }

    private announceTraffic(): void {
        this.directory.castAll({ kind: "trafficSeen" });
    }
}

async function listen(server: Server, address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ port, host, backlog: 1024 }, () => resolve());
    });
}
