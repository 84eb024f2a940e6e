import { listDrains, listGroups, listServices, listSuspects, listVms } from "@kumquathall/control-state";
import { ProblemCode, RefusalError } from "@kumquathall/errors";
import {
    type Command,
    type CommandResult,
    type ControlAnswer,
    type DrainKindValue,
    Outcome,
    type ServiceDefinition,
} from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import { computeKeyDigest, isSameDigest } from "./accountIndex.js";
import type { ConfigurationReader } from "./configurationReader.js";
import type { ControlClient } from "./controlClient.js";
import type { EndpointTable } from "./endpointTable.js";
import type { EntrySettings, OperatorAccount, OperatorRight } from "./entrySettings.js";
import type { ExplainStore } from "./explainStore.js";
import { sendProblem } from "./problemResponse.js";
import { readRequestBody } from "./readRequestBody.js";

export interface OperatorApiOptions {
    settings: EntrySettings;
    client: ControlClient;
    reader: ConfigurationReader;
    endpoints: EndpointTable;
    explain: ExplainStore;
}

interface PublishBody {
    changeId: string;
    baseVersion: number;
    definition: ServiceDefinition;
}

interface DrainBody {
    changeId: string;
    target: DrainKindValue;
    name: string;
}

export const OPERATOR_PREFIX = "/operator/v1/";
const CALL_TIMEOUT_MS = 5000;
const DEFAULT_AUDIT_LIMIT = 100;

/** Operator API: JSON over HTTP under `/operator/v1/`. */
export class OperatorApi {
    constructor(private readonly options: OperatorApiOptions) {}

    /** Handles one request. Never rejects. */
    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = randomUUID();
        try {
            const value = await this.dispatch(request);
            const body = JSON.stringify(value);
            response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(body) })
                .end(body);
        }
        catch (error) {
            const isRefusal = error instanceof RefusalError;
            sendProblem(response, {
                code: isRefusal ? error.code : ProblemCode.Internal,
                detail: isRefusal ? error.message : "internal error in the entry",
                outcome: isRefusal && error.code === ProblemCode.NoLeader ? Outcome.Unknown : Outcome.NotRun,
                requestId,
                retryAfterMs: isRefusal ? error.retryAfterMs : undefined,
            });
        }
    }

    private async dispatch(request: IncomingMessage): Promise<unknown> {
        const url = new URL(request.url ?? "/", "http://entry");
        const path = url.pathname.slice(OPERATOR_PREFIX.length);
        const route = `${request.method ?? "GET"} ${path.split("/")[0]}`;
        switch (route) {
            case "GET status":
                this.authorize(request, "read");
                return this.query({ kind: "status" });
            case "GET audit":
                this.authorize(request, "read");
                return this.query({
                    kind: "audit",
                    limit: Number(url.searchParams.get("limit") ?? DEFAULT_AUDIT_LIMIT),
                });
            case "GET configuration":
                this.authorize(request, "read");
                return this.describeConfiguration();
            case "GET explain":
                this.authorize(request, "read");
                return this.explain(path.slice("explain/".length));
            case "POST publish":
                return this.publish(request, this.authorize(request, "publish"));
            case "POST drain":
                return this.drain(request, this.authorize(request, "drain"), "drain");
            case "POST undrain":
                return this.drain(request, this.authorize(request, "drain"), "undrain");
            case "POST release-quarantine":
                return this.releaseQuarantine(request, this.authorize(request, "drain"));
            default:
                throw new RefusalError(ProblemCode.NotFound, "unknown path of the operator API");
        }
    }

    private authorize(request: IncomingMessage, right: OperatorRight): OperatorAccount {
        const key = /^Bearer (\S{1,512})$/.exec(request.headers.authorization ?? "")?.[1];
        const digest = key === undefined ? "" : computeKeyDigest(key);
        const operator = this.options.settings.operators.find(item => isSameDigest(item.keyDigest, digest));
        if (operator === undefined) {
            throw new RefusalError(ProblemCode.Unauthorized, 'send an operator\'s key as "Authorization: Bearer KEY"');
        }
        if (!operator.rights.includes(right)) {
            throw new RefusalError(
                ProblemCode.Forbidden,
                `operator "${operator.name}" does not have the right "${right}"`,
            );
        }
        return operator;
    }

    private async query(query: { kind: "status" } | { kind: "audit"; limit: number }): Promise<unknown> {
        const answer = await this.options.client.callLeader(
            { kind: "query", query },
            performance.now() + CALL_TIMEOUT_MS,
        );
        return answer.kind === "status" ? answer.status : answer.kind === "audit" ? answer.records : undefined;
    }

    private describeConfiguration(): object {
        const configuration = this.options.reader.getConfiguration();
        return {
            revision: configuration.revision,
            leaseMs: Math.round(this.options.reader.getLeaseMs(performance.now())),
            services: listServices(configuration),
            groups: listGroups(configuration),
            vms: listVms(configuration),
            drains: listDrains(configuration),
            suspects: listSuspects(configuration),
            endpoints: this.options.endpoints.listAgents().map(agent => ({
                vm: agent.vm,
                incarnation: agent.incarnation,
                isLeaving: agent.isLeaving,
                inFlight: agent.inFlight,
                reported: (agent.load?.running ?? 0) + (agent.load?.queued ?? 0),
            })),
        };
    }

    private explain(requestId: string): unknown {
        const record = this.options.explain.find(requestId);
        if (record === undefined) {
            throw new RefusalError(
                ProblemCode.NotFound,
                `this entry has no record of request ${requestId}; try the other entries`,
            );
        }
        return record;
    }

    private async publish(request: IncomingMessage, operator: OperatorAccount): Promise<CommandResult> {
        const body = await this.readJson<PublishBody>(request);
        if (
            typeof body.changeId !== "string" || typeof body.baseVersion !== "number"
            || typeof body.definition !== "object"
        ) {
            throw new RefusalError(ProblemCode.BadRequest, "a publish requires changeId, baseVersion and definition");
        }
        const { changeId, baseVersion, definition } = body;
        return this.propose({
            kind: "publish",
            changeId,
            operator: operator.name,
            at: new Date().toISOString(),
            baseVersion,
            definition,
        });
    }

    private async drain(
        request: IncomingMessage,
        operator: OperatorAccount,
        kind: "drain" | "undrain",
    ): Promise<CommandResult> {
        const { changeId, target, name } = await this.readJson<DrainBody>(request);
        if (
            !["vm", "domain", "data-centre"].includes(target) || typeof name !== "string"
            || typeof changeId !== "string"
        ) {
            throw new RefusalError(
                ProblemCode.BadRequest,
                "a drain requires changeId, target (vm, domain or data-centre) and name",
            );
        }
        return this.propose({ kind, changeId, operator: operator.name, target, name, at: new Date().toISOString() });
    }

    private async releaseQuarantine(request: IncomingMessage, operator: OperatorAccount): Promise<CommandResult> {
        const { changeId, fingerprint } = await this.readJson<{ changeId: string; fingerprint: string }>(request);
        return this.propose({
            kind: "releaseQuarantine",
            changeId,
            operator: operator.name,
            fingerprint,
            at: new Date().toISOString(),
        });
    }

    private async propose(command: Command): Promise<CommandResult> {
        const answer: ControlAnswer = await this.options.client.callLeader(
            { kind: "propose", command },
            performance.now() + CALL_TIMEOUT_MS,
        );
        if (answer.kind !== "result") {
            throw new RefusalError(ProblemCode.Internal, "unexpected kind of answer from control");
        }
        return answer.result;
    }

    private async readJson<Value>(request: IncomingMessage): Promise<Value> {
        const body = await readRequestBody(
            request,
            this.options.settings.maxBodyBytes,
            this.options.settings.requestTimeoutMs,
        );
        try {
            return JSON.parse(body.toString("utf8")) as Value;
        }
        catch {
            throw new RefusalError(ProblemCode.BadRequest, "the body is not JSON");
        }
    }
}
