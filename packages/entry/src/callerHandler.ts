import type { AdmissionDecision } from "@kumquathall/admission";
import { ProblemCode, type ProblemCodeValue, RefusalError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import { Outcome, type OutcomeValue } from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AccountIndex } from "./accountIndex.js";
import type { AdmissionTable } from "./admissionTable.js";
import { authenticate, type CallerRequest, resolveRequest } from "./callerRequest.js";
import type { Dispatcher, DispatchResult } from "./dispatcher.js";
import type { EntrySettings } from "./entrySettings.js";
import type { ExplainStore } from "./explainStore.js";
import type { EntryMetrics } from "./metrics.js";
import { sendProblem } from "./problemResponse.js";
import { readRequestBody } from "./readRequestBody.js";
import { ResponseWriter } from "./responseWriter.js";
import type { SuspectList } from "./suspectList.js";

export interface CallerHandlerOptions {
    accounts: AccountIndex;
    admission: AdmissionTable;
    dispatcher: Dispatcher;
    suspects: SuspectList;
    explain: ExplainStore;
    metrics: EntryMetrics;
    logger: Logger;
    settings: EntrySettings;
    /** Whether the local copy of the configuration is covered by a lease. */
    hasConfigurationLease: () => boolean;
}

const NOT_READY_RETRY_MS = 500;
const ADMISSION_CODES: Record<Extract<AdmissionDecision, { kind: "refused" }>["reason"], ProblemCodeValue> = {
    "queue-full": ProblemCode.RateLimited,
    "bytes-full": ProblemCode.RateLimited,
    "deadline": ProblemCode.DeadlineTooShort,
    "closed": ProblemCode.Stopping,
};

/** Handles callers' requests: authentication, admission, dispatch and the record for `explain`. */
export class CallerHandler {
    private inFlight = 0;

    constructor(private readonly options: CallerHandlerOptions) {}

    countInFlight(): number {
        return this.inFlight;
    }

    /** Handles one request. Never rejects. */
    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = randomUUID();
        const startedAt = performance.now();
        this.inFlight++;
        try {
            const caller = await this.resolve(requestId, request);
            await this.serve(caller, response, startedAt);
        }
        catch (error) {
            this.refuse(requestId, response, error, startedAt);
        }
        this.inFlight--;
    }

    /** Finds the accounts that the request's key belongs to. Throws a {@link RefusalError} if there are none. */
    authenticate(request: IncomingMessage): ReturnType<typeof authenticate> {
        return authenticate(request, this.options.accounts);
    }

    private async resolve(requestId: string, request: IncomingMessage): Promise<CallerRequest> {
        const { settings, accounts, suspects } = this.options;
        if (!this.options.hasConfigurationLease() && settings.onControlLoss === "refuse") {
            throw new RefusalError(
                ProblemCode.NotReady,
                "this entry has no configuration lease; retry, or use another entry",
                NOT_READY_RETRY_MS,
            );
        }
        const matches = authenticate(request, accounts);
        const body = await readRequestBody(request, settings.maxBodyBytes, settings.requestTimeoutMs);
        const caller = resolveRequest(requestId, request, body, matches);
        if (suspects.isQuarantined(caller.request.fingerprint)) {
            throw new RefusalError(
                ProblemCode.Quarantined,
                "this request was in flight when engines crashed; ask an operator to release it from quarantine",
            );
        }
        return caller;
    }

    private async serve(caller: CallerRequest, response: ServerResponse, startedAt: number): Promise<void> {
        const { request } = caller;
        let cancel: () => void = () => undefined;
        let isDisconnected = false;
        response.on("close", () => {
            if (!response.writableFinished) {
                isDisconnected = true;
                cancel();
            }
        });
        await this.admit(caller, withdraw => {
            cancel = withdraw;
        });
        const admittedAt = performance.now();
        const writer = new ResponseWriter(response, request.requestId);
        const result = await this.options.dispatcher.dispatch(request, writer, cancelDispatch => {
            cancel = cancelDispatch;
            if (isDisconnected) {
                cancelDispatch();
            }
        });
        const now = performance.now();
        this.options.admission.leave(request.service, now - admittedAt, now);
        if (result.code !== undefined) {
            writer.fail({
                code: result.code,
                detail: result.detail,
                outcome: result.outcome,
                requestId: request.requestId,
                retryAfterMs: result.retryAfterMs,
            });
        }
        this.record(caller, result, startedAt, admittedAt, now);
    }

    private admit(caller: CallerRequest, onQueued: (withdraw: () => void) => void): Promise<void> {
        const { request, account } = caller;
        const ticket = {
            account: account.name,
            weight: account.weight,
            priority: account.priority,
            bytes: request.body.length,
            deadline: request.deadline,
        };
        return new Promise((resolve, reject) => {
            const withdraw = this.options.admission.enter(request.service, ticket, performance.now(), decision => {
                if (decision.kind === "admitted") {
                    resolve();
                    return;
                }
                const code = ADMISSION_CODES[decision.reason];
                reject(new RefusalError(code, `not admitted: ${decision.reason}`, decision.retryAfterMs));
            });
            onQueued(() => {
                withdraw();
                reject(new RefusalError(ProblemCode.Cancelled, "the caller disconnected while the request was queued"));
            });
        });
    }

    private record(
        caller: CallerRequest,
        result: DispatchResult,
        startedAt: number,
        admittedAt: number,
        now: number,
    ): void {
        const { request, account } = caller;
        const { institution, service } = request.service;
        this.options.explain.add({
            requestId: request.requestId,
            at: new Date().toISOString(),
            institution,
            service,
            account: account.name,
            isRepeatable: request.isRepeatable,
            queuedMs: admittedAt - startedAt,
            candidates: result.candidates,
            attempts: result.attempts,
            outcome: result.outcome,
            code: result.code ?? "",
            totalMs: now - startedAt,
        });
        this.options.metrics.countRequest(
            `${institution}/${service}`,
            result.outcome,
            result.code ?? "ok",
            (now - startedAt) / 1000,
        );
        if (result.code !== undefined) {
            this.options.logger.info("request-not-complete", {
                request: request.requestId,
                service: `${institution}/${service}`,
                outcome: result.outcome,
                code: result.code,
                attempts: result.attempts.length,
            });
        }
    }

    /** Refuses a request that was not dispatched. */
    private refuse(requestId: string, response: ServerResponse, error: unknown, startedAt: number): void {
        const isRefusal = error instanceof RefusalError;
        const code = isRefusal ? error.code : ProblemCode.Internal;
        const outcome: OutcomeValue = Outcome.NotRun;
        if (!isRefusal) {
            this.options.logger.error("request-failed", { request: requestId, message: String(error) });
        }
        sendProblem(response, {
            code,
            detail: isRefusal ? error.message : "internal error in the entry",
            outcome,
            requestId,
            retryAfterMs: isRefusal ? error.retryAfterMs : undefined,
        });
        this.options.metrics.countRequest("", outcome, code, (performance.now() - startedAt) / 1000);
    }
}
