import { ProblemCode } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type {
    AgentToEntry,
    Command,
    CommandResult,
    EntryToAgent,
    LedgerResult,
    RunMessage,
    RunRefusal,
} from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import type { XXHashAPI } from "xxhash-wasm";
import type { StartDecision } from "./decideStart.js";
import type { EngineClient } from "./engineClient.js";
import { FinishedRuns } from "./finishedRuns.js";
import { Mutex } from "./mutex.js";
import { type RunResult, RunTask } from "./runTask.js";

export interface RunManagerOptions {
    vm: string;
    incarnation: string;
    engine: EngineClient;
    hash: XXHashAPI;
    logger: Logger;
    maxHeldBytes: number;
    decideStart: (message: RunMessage, remainingMs: number, running: number) => StartDecision;
    propose: (command: Command, until: number) => Promise<CommandResult>;
    /** Called when a request finds the engine unavailable. */
    onEngineLost: () => void;
}

/** How long a finished response is kept for an entry that lost its connection, in milliseconds. */
const HOLD_FINISHED_MS = 5000;
/** How long an idempotent run continues without a connection to its entry, in milliseconds. */
const DETACH_GRACE_MS = 5000;
const CHECK_HELD_INTERVAL_MS = 500;
const LEDGER_POLL_INTERVAL_MS = 100;
/** How long the agent retries to pass the result of a run to control, also after its deadline, in milliseconds. */
const PROPOSE_TIMEOUT_MS = 60_000;

/** Starts, tracks and ends all runs of this agent. */
export class RunManager {
    private readonly tasks = new Map<string, RunTask>();
    /** Ensures that only one suspect request runs at a time. */
    private readonly suspectMutex = new Mutex();
    private running = 0;
    private onIdle: (() => void) | undefined;
    private readonly finished: FinishedRuns;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: RunManagerOptions) {
        this.finished = new FinishedRuns({
            holdMs: HOLD_FINISHED_MS,
            maxHeldBytes: options.maxHeldBytes,
            onDropped: task => this.tasks.delete(task.message.requestId),
        });
        this.timer = setInterval(() => this.checkHeld(), CHECK_HELD_INTERVAL_MS);
    }

    close(): void {
        clearInterval(this.timer);
    }

    /** Counts the requests that were accepted and have not ended. */
    countRunning(): number {
        return this.running;
    }

    /** Handles a message from an entry. */
    handle(message: EntryToAgent, link: Link): void {
        switch (message.kind) {
            case "run":
                void this.start(message, link);
                return;
            case "runCredit":
                this.tasks.get(message.requestId)?.addCredit(message.bytes);
                return;
            case "runTaken":
                message.requestIds.forEach(requestId => this.finished.remove(requestId));
                return;
            case "runCancel":
                this.cancel(message.requestId);
                return;
            case "runAttach":
                this.attachRun(message.requestId, message.fromSequence, message.credit, link);
                return;
        }
    }

    /**
     * Detaches the runs of a closed link, so that the entry can reattach to them. Idempotent runs continue for a grace
     * period, non-idempotent runs to their end.
     */
    handleLinkClosed(link: Link): void {
        for (const task of this.tasks.values()) {
            task.removeLink(link, DETACH_GRACE_MS);
        }
    }

    /** Resolves once no request runs. */
    waitUntilIdle(): Promise<void> {
        if (this.running === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            this.onIdle = resolve;
        });
    }

    /** Expires finished responses. Above the size limit, drops chunks that running idempotent requests have sent. */
    private checkHeld(): void {
        this.finished.expire(performance.now());
        let heldBytes = this.finished.getHeldBytes();
        const streaming = [...this.tasks.values()].filter(task => !task.isFinished() && task.getHeldBytes() > 0);
        heldBytes += streaming.reduce((sum, task) => sum + task.getHeldBytes(), 0);
        for (const task of streaming) {
            if (heldBytes <= this.options.maxHeldBytes) {
                return;
            }
            heldBytes -= task.message.ledgerKey === undefined ? task.dropSent() : 0;
        }
    }

    private cancel(requestId: string): void {
        const task = this.tasks.get(requestId);
        // A non-idempotent request runs to its end, so that a resend with the same key receives its response.
        if (task !== undefined && task.message.ledgerKey === undefined) {
            task.cancel();
        }
    }

    private attachRun(requestId: string, fromSequence: number, credit: number, link: Link): void {
        const task = this.tasks.get(requestId);
        if (task === undefined) {
            // The run message was lost with its connection. As connections deliver in order, it cannot arrive later.
            sendRefusal(link, requestId, {
                code: ProblemCode.StaleRoute,
                message: "this endpoint did not receive the request",
                retryAfterMs: undefined,
            });
            return;
        }
        task.addLink(link, fromSequence, credit);
    }

    private async start(message: RunMessage, link: Link): Promise<void> {
        const deadline = performance.now() + message.remainingMs;
        const decision = this.options.decideStart(message, message.remainingMs, this.running);
        if (decision.kind === "refuse") {
            sendRefusal(link, message.requestId, decision.refusal);
            return;
        }
        const { engine, hash } = this.options;
        const task = new RunTask({ message, link, engine, hash, deadline });
        this.tasks.set(message.requestId, task);
        this.running++;
        try {
            await this.runTask(task, deadline);
        }
        catch (error) {
            this.options.logger.error("run-failed", { request: message.requestId, message: String(error) });
        }
        this.running--;
        this.finished.add(task, performance.now());
        if (this.running === 0) {
            this.onIdle?.();
        }
    }

    private async runTask(task: RunTask, deadline: number): Promise<void> {
        const { message } = task;
        if (message.ledgerKey !== undefined) {
            await this.runOnce(task, message.ledgerKey, deadline);
            return;
        }
        const leave = message.isSuspect ? await this.suspectMutex.enter() : undefined;
        try {
            const refusal = this.checkStartAgain(message, deadline);
            if (refusal !== undefined) {
                task.finishWith({ kind: "runRefused", requestId: message.requestId, refusal });
                return;
            }
            const result = await task.run();
            this.handleResult(task, result);
        }
        finally {
            leave?.();
        }
    }

    /** Repeats the start check for a suspect request, because the conditions may have changed while it waited. */
    private checkStartAgain(message: RunMessage, deadline: number): RunRefusal | undefined {
        if (!message.isSuspect) {
            return undefined;
        }
        const decision = this.options.decideStart(message, deadline - performance.now(), 0);
        return decision.kind === "refuse" ? decision.refusal : undefined;
    }

    private handleResult(task: RunTask, result: RunResult): void {
        const { requestId, fingerprint, isSuspect, service, institution } = task.message;
        if (result.kind === "notStarted") {
            task.finishWith({ kind: "runRefused", requestId, refusal: result.refusal });
            this.options.onEngineLost();
        }
        else if (result.kind === "broken" && result.isEngineLost) {
            this.options.onEngineLost();
            this.reportCrash([fingerprint], `${institution}/${service}`);
        }
        else if (result.kind === "complete" && isSuspect) {
            void this.proposeQuietly({
                kind: "clearSuspects",
                fingerprints: [fingerprint],
                at: new Date().toISOString(),
            });
        }
    }

    private reportCrash(fingerprints: string[], service: string): void {
        const { vm, incarnation } = this.options;
        void this.proposeQuietly({
            kind: "reportCrash",
            vm,
            incarnation,
            service,
            fingerprints,
            at: new Date().toISOString(),
        });
    }

    /** Runs a non-idempotent request if the ledger assigns its key to this attempt, else reports the key's state. */
    private async runOnce(task: RunTask, key: string, deadline: number): Promise<void> {
        const attempt = randomUUID();
        const ledger = await this.readLedger(task, key, attempt, deadline);
        if (ledger === undefined) {
            this.abandon(key, attempt);
            this.refuseTask(task, ProblemCode.NotReady, "the idempotency ledger could not be reached", 1000);
            return;
        }
        switch (ledger.state) {
            case "won":
                await this.runAndStoreAnswer(task, key, attempt);
                return;
            case "answered":
                this.replay(task, ledger);
                return;
            case "reused":
                this.refuseTask(
                    task,
                    ProblemCode.KeyReused,
                    "this idempotency key was used for another request",
                    undefined,
                );
                return;
            case "expired":
                this.refuseTask(
                    task,
                    ProblemCode.KeyExpired,
                    "this idempotency key has expired",
                    undefined,
                );
                return;
            case "inFlight":
            case "unknown":
                task.finishWith({
                    kind: "runBroken",
                    requestId: task.message.requestId,
                    code: ProblemCode.OutcomeUnknown,
                    message: "an earlier request with this idempotency key was started and its outcome is unknown",
                });
        }
    }

    /** Begins a key in the ledger. While the key is in flight in another attempt, polls until the deadline. */
    private async readLedger(
        task: RunTask,
        key: string,
        attempt: string,
        deadline: number,
    ): Promise<LedgerResult | undefined> {
        const { vm, incarnation } = this.options;
        const command: Command = {
            kind: "ledgerBegin",
            key,
            digest: task.message.digest,
            vm,
            incarnation,
            attempt,
            at: new Date().toISOString(),
        };
        let last: LedgerResult | undefined;
        while (performance.now() < deadline) {
            const result = await this.options.propose(command, deadline).catch(() => undefined);
            last = result?.kind === "ledger" ? result.ledger : undefined;
            if (last === undefined || last.state !== "inFlight") {
                return last;
            }
            await new Promise(resolve => setTimeout(resolve, LEDGER_POLL_INTERVAL_MS));
        }
        return last;
    }

    private async runAndStoreAnswer(task: RunTask, key: string, attempt: string): Promise<void> {
        const result = await task.run();
        if (result.kind === "complete") {
            const command: Command = {
                kind: "ledgerAnswer",
                key,
                attempt,
                answer: result.answer,
                at: new Date().toISOString(),
            };
            await this.options.propose(command, performance.now() + PROPOSE_TIMEOUT_MS).catch(error => {
                this.options.logger.error("ledger-answer-lost", {
                    request: task.message.requestId,
                    message: String(error),
                });
            });
            return;
        }
        if (result.kind === "notStarted") {
            this.abandon(key, attempt);
        }
        this.handleResult(task, result);
    }

    private replay(task: RunTask, ledger: Extract<LedgerResult, { state: "answered" }>): void {
        const { requestId } = task.message;
        const { answer } = ledger;
        if (answer.body === undefined) {
            task.finishWith({
                kind: "runBroken",
                requestId,
                code: ProblemCode.AnswerNotRetained,
                message: "the request ran, but its response was streamed or too large and was not retained",
            });
            return;
        }
        const digest = this.options.hash.h64Raw(answer.body).toString(16);
        task.finishWith({
            kind: "runWhole",
            requestId,
            status: answer.status,
            headers: answer.headers,
            data: answer.body,
            digest,
        });
    }

    private refuseTask(task: RunTask, code: string, message: string, retryAfterMs: number | undefined): void {
        const { requestId } = task.message;
        task.finishWith({ kind: "runRefused", requestId, refusal: { code, message, retryAfterMs } });
    }

    /** Releases a key whose request this agent will never run. Otherwise, resends would report an unknown outcome. */
    private abandon(key: string, attempt: string): void {
        void this.proposeQuietly({ kind: "ledgerAbandon", key, attempt, at: new Date().toISOString() });
    }

    private async proposeQuietly(command: Command): Promise<void> {
        await this.options.propose(command, performance.now() + PROPOSE_TIMEOUT_MS).catch(error => {
            this.options.logger.warn("command-lost", { command: command.kind, message: String(error) });
        });
    }
}

function sendRefusal(link: Link, requestId: string, refusal: RunRefusal): void {
    const message: AgentToEntry = { kind: "runRefused", requestId, refusal };
    link.cast(message);
}
