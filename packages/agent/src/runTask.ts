import { describeError, ProblemCode } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { AgentToEntry, HeaderField, RunMessage, RunRefusal, StoredAnswer } from "@kumquathall/types";
import { EventEmitter } from "node:events";
import type { XXHash, XXHashAPI } from "xxhash-wasm";
import { type EngineClient, EngineError, type EngineResponse } from "./engineClient.js";
import { OutputBuffer } from "./outputBuffer.js";

/** Result of a run. */
export type RunResult =
    | { kind: "complete"; answer: StoredAnswer }
    /** The engine certainly did not start the request. */
    | { kind: "notStarted"; refusal: RunRefusal }
    /** The request may have started, and failed. `isEngineLost` is set unless its deadline expired. */
    | { kind: "broken"; isEngineLost: boolean }
    | { kind: "cancelled" };

export interface RunTaskOptions {
    message: RunMessage;
    link: Link;
    engine: EngineClient;
    hash: XXHashAPI;
    /** Monotonic time at which the run is aborted. */
    deadline: number;
}

/** Largest response that is sent as one frame if the caller did not request a stream, in bytes. */
const MAX_SINGLE_FRAME_BYTES = 512 * 1024;
/** Number of unsent bytes at which reading from the engine pauses. */
const MAX_UNSENT_BYTES = 256 * 1024;

/** Runs one request on the engine and buffers its response for the entry. */
export class RunTask {
    readonly message: RunMessage;
    private link: Link | undefined;
    private readonly output: OutputBuffer;
    /** Digest of a response that is sent in chunks. */
    private digest: XXHash<bigint> | undefined;
    /** Emits `abort`. An emitter costs a tenth of an AbortController. */
    private readonly abort = new EventEmitter();
    private isExpired = false;
    private status: number | undefined;
    private headers: HeaderField[] = [];
    private finalMessage: AgentToEntry | undefined;
    private isCancelled = false;
    /** Resumes the run when it waits for the entry. */
    private wake: (() => void) | undefined;
    private isFlushScheduled = false;
    private detachTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: RunTaskOptions) {
        this.message = options.message;
        this.link = options.link;
        this.output = new OutputBuffer(options.message.credit);
    }

    /** Whether the run has ended, that is, has a final message for the entry. */
    isFinished(): boolean {
        return this.finalMessage !== undefined;
    }

    /** Number of bytes that are buffered for the entry. */
    getHeldBytes(): number {
        const finalBytes = this.finalMessage?.kind === "runWhole" ? this.finalMessage.data.length : 0;
        return this.output.getBytes() + finalBytes;
    }

    /** Runs the request to its end. Never rejects. */
    async run(): Promise<RunResult> {
        const timer = setTimeout(() => this.expire(), Math.max(1, this.options.deadline - performance.now()));
        try {
            const response = await this.options.engine.run(this.message, this.abort);
            this.status = response.status;
            this.headers = response.headers;
            return this.message.isStream ? await this.relayStream(response) : await this.relayComplete(response);
        }
        catch (error) {
            return this.handleFailure(error);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Ends the run with a final message: a complete response, a refusal or an error. */
    finishWith(final: AgentToEntry): void {
        this.finalMessage = final;
        this.link?.cast(final);
    }

    /** Aborts the run, because its response is no longer needed. */
    cancel(): void {
        this.isCancelled = true;
        this.abort.emit("abort");
        this.wake?.();
    }

    addCredit(bytes: number): void {
        this.output.addCredit(bytes);
        this.flush();
        this.wake?.();
    }

    /** Detaches the run from a closed link. An idempotent run is cancelled if it is not attached again in time. */
    removeLink(link: Link, graceMs: number): void {
        if (this.link !== link) {
            return;
        }
        this.link = undefined;
        if (this.message.ledgerKey === undefined && !this.isFinished()) {
            this.detachTimer = setTimeout(() => this.cancel(), graceMs);
        }
    }

    /** Attaches the run to a new link and resends its response from the given chunk. */
    addLink(link: Link, fromSequence: number, credit: number): void {
        clearTimeout(this.detachTimer);
        if (!this.output.restartAt(fromSequence, credit)) {
            link.cast({
                kind: "runBroken",
                requestId: this.message.requestId,
                code: ProblemCode.AnswerBroken,
                message: "the requested part of the response is no longer buffered",
            });
            return;
        }
        this.link = link;
        if (this.status !== undefined && this.message.isStream) {
            this.sendStart();
        }
        this.flush();
        if (this.finalMessage !== undefined && this.output.isFlushed()) {
            link.cast(this.finalMessage);
        }
        this.wake?.();
    }

    /** Drops the chunks that have been sent, to free memory. Returns the number of dropped bytes. */
    dropSent(): number {
        return this.output.dropSent();
    }

    private expire(): void {
        this.isExpired = true;
        this.abort.emit("abort");
    }

    private async relayComplete(response: EngineResponse): Promise<RunResult> {
        const body = await response.readBody();
        const bytes = body.length;
        if (bytes <= MAX_SINGLE_FRAME_BYTES) {
            const { requestId } = this.message;
            const digest = this.options.hash.h64Raw(body).toString(16);
            this.finishWith({
                kind: "runWhole",
                requestId,
                status: response.status,
                headers: response.headers,
                data: body,
                digest,
            });
        }
        else {
            this.digest = this.options.hash.create64();
            this.digest.update(body);
            this.sendStart();
            for (let at = 0; at < bytes; at += MAX_UNSENT_BYTES) {
                this.output.push(body.subarray(at, at + MAX_UNSENT_BYTES));
            }
            this.flush();
            this.finishStream();
            await this.waitUntilFlushed();
        }
        return { kind: "complete", answer: { status: response.status, headers: response.headers, body } };
    }

    private async relayStream(response: EngineResponse): Promise<RunResult> {
        const digest = this.options.hash.create64();
        this.digest = digest;
        this.sendStart();
        for await (const chunk of response.body) {
            digest.update(chunk);
            this.output.push(chunk);
            this.scheduleFlush();
            while (this.output.countUnsentBytes() > MAX_UNSENT_BYTES && !this.isCancelled) {
                await new Promise<void>(resolve => {
                    this.wake = resolve;
                });
            }
            if (this.isCancelled) {
                return { kind: "cancelled" };
            }
        }
        this.flush();
        this.finishStream();
        await this.waitUntilFlushed();
        return { kind: "complete", answer: { status: response.status, headers: response.headers, body: undefined } };
    }

    /** Waits until the complete response has been sent, so that a stopping agent does not truncate it. */
    private async waitUntilFlushed(): Promise<void> {
        while (!this.output.isFlushed() && !this.isCancelled) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
        }
    }

    private sendStart(): void {
        this.link?.cast({
            kind: "runStart",
            requestId: this.message.requestId,
            status: this.status ?? 0,
            headers: this.headers,
        });
    }

    /** Sends what arrives in one read of the connection together. */
    private scheduleFlush(): void {
        if (this.isFlushScheduled) {
            return;
        }
        this.isFlushScheduled = true;
        setImmediate(() => {
            this.isFlushScheduled = false;
            this.flush();
            this.wake?.();
        });
    }

    private flush(): void {
        if (this.link === undefined) {
            return;
        }
        for (let next = this.output.takeNext(); next !== undefined; next = this.output.takeNext()) {
            this.link.cast({
                kind: "runChunk",
                requestId: this.message.requestId,
                sequence: next.sequence,
                data: next.data,
            });
        }
        if (this.finalMessage !== undefined && this.output.isFlushed()) {
            this.link.cast(this.finalMessage);
        }
    }

    private finishStream(): void {
        const isFlushed = this.output.isFlushed();
        this.finalMessage = {
            kind: "runEnd",
            requestId: this.message.requestId,
            chunks: this.output.countChunks(),
            digest: this.formatDigest(),
        };
        if (isFlushed) {
            this.link?.cast(this.finalMessage);
        }
    }

    private formatDigest(): string {
        return this.digest?.digest().toString(16) ?? "";
    }

    private handleFailure(error: unknown): RunResult {
        const { requestId } = this.message;
        if (this.isCancelled) {
            this.finishWith({ kind: "runBroken", requestId, code: ProblemCode.Cancelled, message: "cancelled" });
            return { kind: "cancelled" };
        }
        if (error instanceof EngineError && error.isNotStarted) {
            const refusal = { code: ProblemCode.NotReady, message: error.message, retryAfterMs: undefined };
            return { kind: "notStarted", refusal };
        }
        const isDeadlineExpired = this.isExpired;
        this.finishWith({
            kind: "runBroken",
            requestId,
            code: isDeadlineExpired ? ProblemCode.DeadlineExceeded : ProblemCode.EngineFailed,
            message: isDeadlineExpired ? "the deadline expired while the request was running" : describeError(error),
        });
        return { kind: "broken", isEngineLost: !isDeadlineExpired };
    }
}
