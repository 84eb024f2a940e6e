import { ProblemCode, type ProblemCodeValue } from "@kumquathall/errors";
import { AttemptOutcome, type AttemptOutcomeValue, decideRetry, RetryBudget } from "@kumquathall/retries";
import { createRoutingPolicy, type RoutingPolicy } from "@kumquathall/routing";
import {
    type HeaderField,
    Outcome,
    type OutcomeValue,
    type RunMessage,
    type ServiceDefinition,
} from "@kumquathall/types";
import type { XXHashAPI } from "xxhash-wasm";
import type { AnswerWriter } from "./answerWriter.js";
import type { AttemptTable } from "./attemptTable.js";
import type { EndpointTable, ServiceEndpoint } from "./endpointTable.js";
import type { AttemptRecord } from "./explainStore.js";
import { type AttemptResult, RunAttempt } from "./runAttempt.js";
import type { SuspectList } from "./suspectList.js";

/** A request that was admitted. */
export interface AdmittedRequest {
    requestId: string;
    service: ServiceDefinition;
    method: string;
    path: string;
    headers: HeaderField[];
    body: Uint8Array;
    isStream: boolean;
    isRepeatable: boolean;
    ledgerKey: string | undefined;
    digest: string;
    fingerprint: string;
    prefixHashes: string[];
    priority: number;
    /** Monotonic. */
    deadline: number;
}

/** How a request ended. `undefined` code: complete. */
export interface DispatchEnd {
    outcome: OutcomeValue;
    code: ProblemCodeValue | undefined;
    detail: string;
    retryAfterMs: number | undefined;
    attempts: AttemptRecord[];
    candidates: number;
}

export interface DispatcherOptions {
    endpoints: EndpointTable;
    exchanges: AttemptTable;
    suspects: SuspectList;
    hash: XXHashAPI;
    policyName: string;
    random?: () => number;
}

/** Bytes of answer in flight from an agent before it waits for the caller. */
const CREDIT_BYTES = 256 * 1024;
const NO_ENDPOINT_RETRY_MS = 1000;
const PROBLEM_CODES = new Set<string>(Object.values(ProblemCode));

/** Chooses endpoints and makes attempts until a request is answered, or must be refused. */
export class Dispatcher {
    private readonly policy: RoutingPolicy;
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly random: () => number;

    constructor(private readonly options: DispatcherOptions) {
        this.random = options.random ?? Math.random;
        this.policy = createRoutingPolicy(options.policyName, { random: this.random });
    }

    /** Runs a request to its end; never rejects. `onCancel` is given a function that ends it when the caller goes away. */
    async dispatch(
        request: AdmittedRequest,
        writer: AnswerWriter,
        onCancel: (cancel: () => void) => void,
    ): Promise<DispatchEnd> {
        return new DispatchTask(
            this.options,
            this.policy,
            this.getBudget(request.service),
            this.random,
            request,
            writer,
        ).run(onCancel);
    }

    private getBudget(service: ServiceDefinition): RetryBudget {
        const name = `${service.institution}/${service.service}`;
        const known = this.budgets.get(name) ?? new RetryBudget();
        this.budgets.set(name, known);
        known.recordRequest();
        return known;
    }
}

/** The attempts of one request. */
class DispatchTask {
    private readonly attempts: AttemptRecord[] = [];
    private readonly triedVms = new Set<string>();
    private readonly startedAt = performance.now();
    private candidates = 0;
    private engineCrashes = 0;
    private mayHaveRun = false;
    private isCancelled = false;
    private exchange: RunAttempt | undefined;

    constructor(
        private readonly options: DispatcherOptions,
        private readonly policy: RoutingPolicy,
        private readonly budget: RetryBudget,
        private readonly random: () => number,
        private readonly request: AdmittedRequest,
        private readonly writer: AnswerWriter,
    ) {}

    async run(onCancel: (cancel: () => void) => void): Promise<DispatchEnd> {
        onCancel(() => {
            this.isCancelled = true;
            this.exchange?.cancel();
        });
        for (;;) {
            const endpoint = this.chooseEndpoint();
            if (endpoint === undefined) {
                return this.end(ProblemCode.NoCapacity, "no endpoint can serve this service now", NO_ENDPOINT_RETRY_MS);
            }
            const exchangeEnd = await this.attempt(endpoint);
            if (exchangeEnd.kind === "complete") {
                this.writer.finish();
                return this.describeEnd(Outcome.Complete, undefined, "", undefined);
            }
            const decision = this.decide(exchangeEnd);
            if (decision.kind === "stop" || this.isCancelled) {
                return this.endAfter(exchangeEnd);
            }
            await new Promise(resolve => setTimeout(resolve, decision.afterMs));
        }
    }

    private isSuspect(): boolean {
        return this.engineCrashes > 0 || this.options.suspects.isSuspect(this.request.fingerprint);
    }

    /** Suspects all go to one endpoint, the first by name, so that a request that crashes engines reaches few of them. */
    private chooseEndpoint(): ServiceEndpoint | undefined {
        const endpoints = this.options.endpoints.listEndpoints(this.request.service, this.triedVms);
        this.candidates = Math.max(this.candidates, endpoints.length);
        if (this.isSuspect()) {
            return endpoints.reduce<ServiceEndpoint | undefined>(
                (first, item) => first === undefined || item.id < first.id ? item : first,
                undefined,
            );
        }
        return this.policy.chooseCandidate({ prefixHashes: this.request.prefixHashes }, endpoints) as
            | ServiceEndpoint
            | undefined;
    }

    private async attempt(target: ServiceEndpoint): Promise<AttemptResult> {
        const { endpoints, exchanges, hash } = this.options;
        const { endpoint } = target;
        const startedMs = performance.now() - this.startedAt;
        this.triedVms.add(target.vm);
        const exchange = new RunAttempt({
            message: this.buildMessage(target),
            vm: target.vm,
            incarnation: endpoint.incarnation,
            link: endpoint.link,
            sink: this.writer,
            hash,
            deadline: this.request.deadline,
            onAcknowledge: (runId, link) => exchanges.sendTaken(runId, link),
            onFirstByte: latencyMs => endpoints.recordFirstByte(endpoint, latencyMs),
        });
        this.exchange = exchange;
        exchanges.add(exchange);
        endpoints.recordSend(endpoint, this.request.prefixHashes);
        const end = await exchange.run();
        exchanges.remove(exchange);
        endpoints.recordEnd(endpoint);
        if (end.kind === "broken" && end.code !== ProblemCode.Cancelled) {
            endpoints.recordFailure(endpoint);
        }
        this.attempts.push({
            endpoint: target.id,
            vm: target.vm,
            reason: this.isSuspect() ? "suspect" : this.policy.name,
            startedMs,
            endedMs: performance.now() - this.startedAt,
            end: end.kind === "complete" ? end.kind : end.kind === "refused" ? end.refusal.code : end.code,
            reattached: exchange.reattachCount,
        });
        return end;
    }

    private buildMessage(target: ServiceEndpoint): RunMessage {
        const { request } = this;
        return {
            kind: "run",
            requestId: `${request.requestId}.${this.attempts.length + 1}`,
            institution: request.service.institution,
            service: request.service.service,
            groupId: target.groupId,
            fencing: target.fencing,
            remainingMs: Math.max(0, Math.floor(request.deadline - performance.now())),
            priority: request.priority,
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body,
            isStream: request.isStream,
            ledgerKey: request.ledgerKey,
            digest: request.digest,
            fingerprint: request.fingerprint,
            isSuspect: this.isSuspect(),
            credit: CREDIT_BYTES,
        };
    }

    private decide(end: Exclude<AttemptResult, { kind: "complete" }>): ReturnType<typeof decideRetry> {
        if (end.kind === "broken") {
            this.mayHaveRun = true;
            this.engineCrashes += end.code === ProblemCode.EngineFailed ? 1 : 0;
        }
        if (end.kind === "refused" && !isRetryableRefusal(end.refusal.code)) {
            return { kind: "stop", reason: "done" };
        }
        if (this.engineCrashes >= 2) {
            return { kind: "stop", reason: "may-have-run" };
        }
        return decideRetry({
            outcome: classifyEnd(end, this.writer.hasStarted()),
            isRepeatable: this.request.isRepeatable,
            attempts: this.attempts.length,
            remainingMs: this.request.deadline - performance.now(),
            hasOtherEndpoint: this.options.endpoints.listEndpoints(this.request.service, this.triedVms).length > 0,
            takeRetry: () => this.budget.takeRetry(),
            random: this.random,
        });
    }

    private endAfter(end: Exclude<AttemptResult, { kind: "complete" }>): DispatchEnd {
        if (end.kind === "refused") {
            return this.end(toProblemCode(end.refusal.code), end.refusal.message, end.refusal.retryAfterMs);
        }
        if (this.engineCrashes >= 2) {
            return this.end(ProblemCode.Quarantined, "two engines crashed while they ran this request", undefined);
        }
        return this.end(toProblemCode(end.code), end.message, undefined);
    }

    private end(code: ProblemCodeValue, detail: string, retryAfterMs: number | undefined): DispatchEnd {
        return this.describeEnd(this.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, code, detail, retryAfterMs);
    }

    private describeEnd(
        outcome: OutcomeValue,
        code: ProblemCodeValue | undefined,
        detail: string,
        retryAfterMs: number | undefined,
    ): DispatchEnd {
        return { outcome, code, detail, retryAfterMs, attempts: this.attempts, candidates: this.candidates };
    }
}

function classifyEnd(end: Exclude<AttemptResult, { kind: "complete" }>, hasDelivered: boolean): AttemptOutcomeValue {
    if (end.kind === "refused") {
        return AttemptOutcome.NotStarted;
    }
    return hasDelivered ? AttemptOutcome.BrokenInAnswer : AttemptOutcome.BrokenBeforeAnswer;
}

/** Refusals that another endpoint would give as well. */
function isRetryableRefusal(code: string): boolean {
    const finalCodes: string[] = [
        ProblemCode.KeyReused,
        ProblemCode.KeyExpired,
        ProblemCode.Quarantined,
        ProblemCode.DeadlineExceeded,
    ];
    return !finalCodes.includes(code);
}

function toProblemCode(code: string): ProblemCodeValue {
    return PROBLEM_CODES.has(code) ? code as ProblemCodeValue : ProblemCode.Internal;
}
