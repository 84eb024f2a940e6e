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
import type { AttemptTable } from "./attemptTable.js";
import type { EndpointTable, ServiceEndpoint } from "./endpointTable.js";
import type { AttemptRecord } from "./explainStore.js";
import type { ResponseWriter } from "./responseWriter.js";
import { type AttemptResult, RunAttempt } from "./runAttempt.js";
import type { SuspectList } from "./suspectList.js";

/** A request that passed admission. */
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
    /** Monotonic time. */
    deadline: number;
}

/** Result of a request. */
export interface DispatchResult {
    outcome: OutcomeValue;
    /** `undefined` if the request completed. */
    code: ProblemCodeValue | undefined;
    detail: string;
    retryAfterMs: number | undefined;
    attempts: AttemptRecord[];
    /** Largest number of endpoints that were available to an attempt. */
    candidates: number;
}

export interface DispatcherOptions {
    endpoints: EndpointTable;
    attemptTable: AttemptTable;
    suspects: SuspectList;
    hash: XXHashAPI;
    policyName: string;
    random?: () => number;
}

/** Flow control window: response bytes that an agent may send before the entry grants more credit. */
const CREDIT_BYTES = 256 * 1024;
const NO_ENDPOINT_RETRY_MS = 1000;
const PROBLEM_CODES = new Set<string>(Object.values(ProblemCode));

/** Sends requests to endpoints and retries failed attempts within the service's retry budget. */
export class Dispatcher {
    private readonly policy: RoutingPolicy;
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly random: () => number;

    constructor(private readonly options: DispatcherOptions) {
        this.random = options.random ?? Math.random;
        this.policy = createRoutingPolicy(options.policyName, { random: this.random });
    }

    /**
     * Dispatches a request until it completes or fails; never rejects. Passes `onCancel` a function that cancels the
     * request, to be called when the caller disconnects.
     */
    async dispatch(
        request: AdmittedRequest,
        writer: ResponseWriter,
        onCancel: (cancel: () => void) => void,
    ): Promise<DispatchResult> {
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
        const budget = this.budgets.get(name) ?? new RetryBudget();
        this.budgets.set(name, budget);
        budget.recordRequest();
        return budget;
    }
}

/** Dispatches one request, in one or more attempts. */
class DispatchTask {
    private readonly attempts: AttemptRecord[] = [];
    private readonly triedVms = new Set<string>();
    private readonly startedAt = performance.now();
    private candidates = 0;
    private engineCrashes = 0;
    private mayHaveRun = false;
    private isCancelled = false;
    private currentAttempt: RunAttempt | undefined;

    constructor(
        private readonly options: DispatcherOptions,
        private readonly policy: RoutingPolicy,
        private readonly budget: RetryBudget,
        private readonly random: () => number,
        private readonly request: AdmittedRequest,
        private readonly writer: ResponseWriter,
    ) {}

    async run(onCancel: (cancel: () => void) => void): Promise<DispatchResult> {
        onCancel(() => {
            this.isCancelled = true;
            this.currentAttempt?.cancel();
        });
        for (;;) {
            const endpoint = this.chooseEndpoint();
            if (endpoint === undefined) {
                return this.endWithProblem(
                    ProblemCode.NoCapacity,
                    "no endpoint of this service is available",
                    NO_ENDPOINT_RETRY_MS,
                );
            }
            const attemptResult = await this.attempt(endpoint);
            if (attemptResult.kind === "complete") {
                this.writer.finish();
                return this.buildResult(Outcome.Complete, undefined, "", undefined);
            }
            const decision = this.decide(attemptResult);
            if (decision.kind === "stop" || this.isCancelled) {
                return this.endAfterAttempt(attemptResult);
            }
            await new Promise(resolve => setTimeout(resolve, decision.afterMs));
        }
    }

    private isSuspect(): boolean {
        return this.engineCrashes > 0 || this.options.suspects.isSuspect(this.request.fingerprint);
    }

    /**
     * Chooses an endpoint by the routing policy. Suspect requests all go to the endpoint with the lowest id, so that a
     * request that crashes engines reaches only a few of them.
     */
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
        const { endpoints, attemptTable, hash } = this.options;
        const { endpoint } = target;
        const startedMs = performance.now() - this.startedAt;
        this.triedVms.add(target.vm);
        const attempt = new RunAttempt({
            message: this.buildMessage(target),
            vm: target.vm,
            incarnation: endpoint.incarnation,
            link: endpoint.link,
            sink: this.writer,
            hash,
            deadline: this.request.deadline,
            onAcknowledge: (runId, link) => attemptTable.sendAcknowledgement(runId, link),
            onFirstByte: latencyMs => endpoints.recordFirstByte(endpoint, latencyMs),
        });
        this.currentAttempt = attempt;
        attemptTable.add(attempt);
        endpoints.recordSend(endpoint, this.request.prefixHashes);
        const result = await attempt.run();
        attemptTable.remove(attempt);
        endpoints.recordEnd(endpoint);
        if (result.kind === "broken" && result.code !== ProblemCode.Cancelled) {
            endpoints.recordFailure(endpoint);
        }
        this.attempts.push({
            endpoint: target.id,
            vm: target.vm,
            reason: this.isSuspect() ? "suspect" : this.policy.name,
            startedMs,
            endedMs: performance.now() - this.startedAt,
            end: result.kind === "complete"
                ? result.kind
                : result.kind === "refused"
                ? result.refusal.code
                : result.code,
            reattached: attempt.reattachCount,
        });
        return result;
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

    private decide(result: Exclude<AttemptResult, { kind: "complete" }>): ReturnType<typeof decideRetry> {
        if (result.kind === "broken") {
            this.mayHaveRun = true;
            this.engineCrashes += result.code === ProblemCode.EngineFailed ? 1 : 0;
        }
        if (result.kind === "refused" && !isRetryableRefusal(result.refusal.code)) {
            return { kind: "stop", reason: "done" };
        }
        if (this.engineCrashes >= 2) {
            return { kind: "stop", reason: "may-have-run" };
        }
        return decideRetry({
            outcome: classifyResult(result, this.writer.hasStarted()),
            isRepeatable: this.request.isRepeatable,
            attempts: this.attempts.length,
            remainingMs: this.request.deadline - performance.now(),
            hasOtherEndpoint: this.options.endpoints.listEndpoints(this.request.service, this.triedVms).length > 0,
            takeRetry: () => this.budget.takeRetry(),
            random: this.random,
        });
    }

    private endAfterAttempt(result: Exclude<AttemptResult, { kind: "complete" }>): DispatchResult {
        if (result.kind === "refused") {
            return this.endWithProblem(
                toProblemCode(result.refusal.code),
                result.refusal.message,
                result.refusal.retryAfterMs,
            );
        }
        if (this.engineCrashes >= 2) {
            return this.endWithProblem(
                ProblemCode.Quarantined,
                "two engines crashed while running this request",
                undefined,
            );
        }
        return this.endWithProblem(toProblemCode(result.code), result.message, undefined);
    }

    private endWithProblem(code: ProblemCodeValue, detail: string, retryAfterMs: number | undefined): DispatchResult {
        return this.buildResult(this.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, code, detail, retryAfterMs);
    }

    private buildResult(
        outcome: OutcomeValue,
        code: ProblemCodeValue | undefined,
        detail: string,
        retryAfterMs: number | undefined,
    ): DispatchResult {
        return { outcome, code, detail, retryAfterMs, attempts: this.attempts, candidates: this.candidates };
    }
}

function classifyResult(
    result: Exclude<AttemptResult, { kind: "complete" }>,
    hasResponseStarted: boolean,
): AttemptOutcomeValue {
    if (result.kind === "refused") {
        return AttemptOutcome.NotStarted;
    }
    return hasResponseStarted ? AttemptOutcome.BrokenInAnswer : AttemptOutcome.BrokenBeforeAnswer;
}

/** Whether another endpoint could accept a request that was refused with this code. */
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
