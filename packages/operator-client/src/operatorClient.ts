import { PublishClient } from "@kumquathall/apply-publish-plan";
import type { PublishStep } from "@kumquathall/assemble-publish-plan";
import { KumquathallError } from "@kumquathall/errors";
import type {
    AuditRecord,
    CommandResult,
    ControlStatus,
    DrainKindValue,
    DrainRecord,
    ReplicaGroup,
    ServiceDefinition,
    SuspectRecord,
    VmRecord,
} from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import { request } from "undici";

/** A call that an entry refused or did not answer. */
export class OperatorClientError extends KumquathallError {
    /** Stable code of the refusal; empty if there was no answer. */
    readonly code: string;

    constructor(message: string, code: string, cause?: unknown) {
        super(message, cause);
        this.code = code;
    }
}

/** The configuration as one entry holds it. */
export interface ConfigurationView {
    revision: number;
    leaseMs: number;
    services: ServiceDefinition[];
    groups: ReplicaGroup[];
    vms: VmRecord[];
    drains: DrainRecord[];
    suspects: SuspectRecord[];
    endpoints: { vm: string; incarnation: string; isLeaving: boolean; inFlight: number; reported: number }[];
}

export interface OperatorClientOptions {
    /** Base URLs of entries, tried in this order until one answers. */
    entryUrls: string[];
    /** The operator's key. */
    key: string;
    /** Timeout of one call to one entry. */
    timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 8000;

/** Client of the operator API. */
export class OperatorClient extends PublishClient {
    constructor(private readonly options: OperatorClientOptions) {
        super();
    }

    readStatus(): Promise<ControlStatus> {
        return this.call("GET", "status");
    }

    readConfiguration(): Promise<ConfigurationView> {
        return this.call("GET", "configuration");
    }

    readAudit(limit: number): Promise<AuditRecord[]> {
        return this.call("GET", `audit?limit=${limit}`);
    }

    /** Queries the entries in turn, since only the entry that handled the request has a record of it. */
    async explain(requestId: string): Promise<unknown> {
        let lastError: unknown;
        for (const url of this.options.entryUrls) {
            try {
                return await this.callEntry(url, "GET", `explain/${encodeURIComponent(requestId)}`);
            }
            catch (error) {
                lastError = error;
            }
        }
        throw lastError;
    }

    override send(step: PublishStep): Promise<CommandResult> {
        return this.call("POST", "publish", {
            changeId: step.changeId,
            baseVersion: step.baseVersion,
            definition: step.definition,
        });
    }

    drain(kind: "drain" | "undrain", target: DrainKindValue, name: string): Promise<CommandResult> {
        return this.call("POST", kind, { changeId: randomUUID(), target, name });
    }

    releaseQuarantine(fingerprint: string): Promise<CommandResult> {
        return this.call("POST", "release-quarantine", { changeId: randomUUID(), fingerprint });
    }

    private async call<Answer>(method: "GET" | "POST", path: string, body?: object): Promise<Answer> {
        let lastError: unknown;
        for (const url of this.options.entryUrls) {
            try {
                return await this.callEntry<Answer>(url, method, path, body);
            }
            catch (error) {
                lastError = error;
                if (error instanceof OperatorClientError && error.code !== "") {
                    throw error;
                }
            }
        }
        throw lastError;
    }

    private async callEntry<Answer>(url: string, method: "GET" | "POST", path: string, body?: object): Promise<Answer> {
        let status: number;
        let text: string;
        try {
            const response = await request(`${url}/operator/v1/${path}`, {
                method,
                headers: { "authorization": `Bearer ${this.options.key}`, "content-type": "application/json" },
                body: body === undefined ? undefined : JSON.stringify(body),
                signal: AbortSignal.timeout(this.options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
            });
            status = response.statusCode;
            text = await response.body.text();
        }
        catch (error) {
            throw new OperatorClientError(`no answer from ${url}; check that an entry is running there`, "", error);
        }
        const answer = JSON.parse(text) as Answer & { code?: string; detail?: string };
        if (status >= 300) {
            throw new OperatorClientError(`${url}: ${answer.detail ?? text}`, answer.code ?? String(status));
        }
        return answer;
    }
}
