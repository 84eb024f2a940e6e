import { ProblemCode, RefusalError } from "@kumquathall/errors";
import { createIdentity, type RoleContext, type RunningRole } from "@kumquathall/kernel";
import type { PeerIdentity } from "@kumquathall/link";
import { Outcome, type RevisionCast } from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import loadXxhash from "xxhash-wasm";
import { AccountIndex } from "./accountIndex.js";
import { AdmissionTable } from "./admissionTable.js";
import { AgentServer } from "./agentServer.js";
import { AttemptTable } from "./attemptTable.js";
import { CallerHandler } from "./callerHandler.js";
import { ConfigurationReader } from "./configurationReader.js";
import { ControlClient } from "./controlClient.js";
import { Dispatcher } from "./dispatcher.js";
import { EndpointTable } from "./endpointTable.js";
import type { EntrySettings } from "./entrySettings.js";
import { ExplainStore } from "./explainStore.js";
import { HttpServer } from "./httpServer.js";
import { EntryMetrics } from "./metrics.js";
import { OPERATOR_PREFIX, OperatorApi } from "./operatorApi.js";
import { PresenceReporter } from "./presenceReporter.js";
import { sendProblem } from "./problemResponse.js";
import { renderStatusPage } from "./statusPage.js";
import { SuspectList } from "./suspectList.js";

const IDLE_POLL_MS = 20;

/** Entry process: HTTP server for callers and operators, links to control and agents. */
export class EntryRole implements RunningRole {
    private readonly identity: PeerIdentity;
    private readonly client: ControlClient;
    private readonly reader: ConfigurationReader;
    private readonly endpoints: EndpointTable;
    private readonly attemptTable = new AttemptTable();
    private readonly explain = new ExplainStore();
    private readonly admission = new AdmissionTable();
    private agentServer!: AgentServer;
    private callers!: CallerHandler;
    private operators!: OperatorApi;
    private presence: PresenceReporter | undefined;
    private httpServer: HttpServer | undefined;
    private isStopping = false;

    private constructor(private readonly context: RoleContext, private readonly settings: EntrySettings) {
        this.identity = createIdentity(context, "entry");
        this.client = new ControlClient({
            context,
            identity: this.identity,
            members: settings.control,
            onOpen: member => this.reader.handleLinkOpened(member),
            onCast: message => this.handleControlCast(message as RevisionCast),
        });
        this.reader = new ConfigurationReader({
            client: this.client,
            logger: context.logger,
            onChange: keys => this.agentServer?.sendConfigurationHints(keys),
        });
        this.endpoints = new EndpointTable(context.settings.dataCentre, () => this.reader.getConfiguration());
    }

    static async start(context: RoleContext, settings: EntrySettings): Promise<EntryRole> {
        const role = new EntryRole(context, settings);
        await role.open();
        return role;
    }

    /** Whether the process is not stopping and, unless `onControlLoss` is `serve`, has a configuration lease. */
    isReady(): boolean {
        return !this.isStopping && (this.hasConfigurationLease() || this.settings.onControlLoss === "serve");
    }

    /** Fails the readiness check, gives load balancers time to notice, and finishes the requests in flight. */
    async drain(): Promise<void> {
        this.isStopping = true;
        await new Promise(resolve => setTimeout(resolve, this.settings.stopGraceMs));
        this.httpServer?.stopAccepting();
        while (this.callers.countInFlight() > 0) {
            await new Promise(resolve => setTimeout(resolve, IDLE_POLL_MS));
        }
    }

    close(): Promise<void> {
        this.admission.close();
        this.presence?.close();
        this.httpServer?.close();
        this.agentServer.close();
        this.reader.close();
        this.client.close();
        return Promise.resolve();
    }

    private async open(): Promise<void> {
        const { context, settings, identity, reader, client, endpoints, attemptTable, explain, admission } = this;
        const metrics = new EntryMetrics(context.metrics);
        const suspects = new SuspectList(() => reader.getConfiguration());
        const hash = await loadXxhash();
        const dispatcher = new Dispatcher({
            endpoints,
            attemptTable,
            suspects,
            hash,
            policyName: settings.routingPolicy,
        });
        this.callers = new CallerHandler({
            accounts: new AccountIndex(() => reader.getConfiguration()),
            admission,
            dispatcher,
            suspects,
            explain,
            metrics,
            logger: context.logger,
            settings,
            hasConfigurationLease: () => this.hasConfigurationLease(),
        });
        this.operators = new OperatorApi({ settings, client, reader, endpoints, explain });
        this.agentServer = await AgentServer.listen({
            context,
            identity,
            listen: settings.listen,
            reader,
            client,
            endpoints,
            attemptTable,
        });
        this.presence = new PresenceReporter({ identity, client, endpoints, admission });
        this.httpServer = await HttpServer.listen({
            address: settings.http,
            httpsFiles: settings.httpsFiles,
            requestTimeoutMs: settings.requestTimeoutMs,
            listener: (request, response) => this.handleRequest(request, response),
        });
        metrics.addGauge("kumquathall_entry_in_flight", "Requests in flight", () => this.callers.countInFlight());
        metrics.addGauge("kumquathall_entry_queued", "Requests waiting for admission", () => admission.countQueued());
        metrics.addGauge(
            "kumquathall_entry_foreign_frames",
            "Frames for no request of this entry, dropped",
            () => attemptTable.foreignCount,
        );
        metrics.addGauge(
            "kumquathall_entry_configuration_lease_ms",
            "Time left on the configuration lease",
            () => reader.getLeaseMs(performance.now()),
        );
        metrics.addGauge("kumquathall_entry_agents", "Agents linked", () => endpoints.listAgents().length);
    }

    private hasConfigurationLease(): boolean {
        return this.reader.getLeaseMs(performance.now()) > 0;
    }

    private handleControlCast(message: RevisionCast): void {
        if (message.kind === "revision") {
            this.reader.handleRevision(message.revision);
        }
    }

    private handleRequest(request: IncomingMessage, response: ServerResponse): void {
        const url = request.url ?? "/";
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        if (url.startsWith(OPERATOR_PREFIX)) {
            void this.operators.handle(request, response);
        }
        else if (url === "/ready") {
            response.writeHead(this.isReady() ? 200 : 503, { "content-type": "text/plain" }).end(
                this.isReady() ? "ready\n" : "not ready\n",
            );
        }
        else if (url === "/status") {
            response.writeHead(200, { "content-type": "text/html; charset=utf-8" }).end(
                renderStatusPage(this.reader, this.endpoints),
            );
        }
        else if (url === "/v1/models") {
            this.listModels(request, response);
        }
        else {
            void this.callers.handle(request, response);
        }
    }

    private listModels(request: IncomingMessage, response: ServerResponse): void {
        try {
            const models = this.callers.authenticate(request).flatMap(match =>
                match.service.models.map(model => ({ id: model.name, object: "model" }))
            );
            response.writeHead(200, { "content-type": "application/json" }).end(
                JSON.stringify({ object: "list", data: models }),
            );
        }
        catch (error) {
            const code = error instanceof RefusalError ? error.code : ProblemCode.Internal;
            sendProblem(response, {
                code,
                detail: String(error),
                outcome: Outcome.NotRun,
                requestId: randomUUID(),
                retryAfterMs: undefined,
            });
        }
    }
}
