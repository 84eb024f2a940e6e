import { describeError, ProblemCode } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { AgentToEntry, HeaderField, RunMessage, RunRefusal, StoredAnswer } from "@kumquathall/types";
import { EventEmitter } from "node:events";
import type { XXHash, XXHashAPI } from "xxhash-wasm";
import { type EngineClient, EngineError, type EngineResponse } from "./engineClient.js";
import { OutputBuffer } from "./outputBuffer.js";

/** How a run ended, for whoever started it. */
export type RunEnd =
    | { kind: "complete"; answer: StoredAnswer }
    /** The engine provably did not start it. */
    | { kind: "notStarted"; refusal: RunRefusal }
    /** It started and broke; `isEngineGone` when the engine's connection failed. */
    | { kind: "broken"; isEngineGone: boolean }
    | { kind: "cancelled" };

export interface RunTaskOptions {
    message: RunMessage;
    link: Link;
    engine: EngineClient;
    hash: XXHashAPI;
    /** Monotonic time after which the engine's work is useless. */
    deadline: number;
}

/** An answer that was not asked for as a stream is sent as one frame up to this size, in bytes. */
const MAX_WHOLE_BYTES = 512 * 1024;
/** Unsent bytes at which reading from the engine pauses. */
const MAX_UNSENT_BYTES = 256 * 1024;

/** Runs one request on the engine and holds its answer until the entry has it. */
export class RunTask {
    readonly message: RunMessage;
    private link: Link | undefined;
    private readonly output: OutputBuffer;
    /** Only for an answer that is sent in chunks. */
    private digest: XXHash<bigint> | undefined;
    /** An emitter costs a tenth of what an AbortController does. */
    private readonly abort = new EventEmitter();
    private isExpired = false;
    private status: number | undefined;
    private headers: HeaderField[] = [];
    private finalMessage: AgentToEntry | undefined;
    private isCancelled = false;
    private wake: (() => void) | undefined;
    private detachTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: RunTaskOptions) {
        this.message = options.message;
        this.link = options.link;
        this.output = new OutputBuffer(options.message.credit);
    }

    /** Whether the run ended and its final message was given to a connection. */
    isFinished(): boolean {
        return this.finalMessage !== undefined;
    }

    /** Bytes held for the entry. */
    getHeldBytes(): number {
        const wholeBytes = this.finalMessage?.kind === "runWhole" ? this.finalMessage.data.length : 0;
        return this.output.getBytes() + wholeBytes;
    }

    /** Runs to the end; never rejects. */
    async run(): Promise<RunEnd> {
        const timer = setTimeout(() => this.expire(), Math.max(1, this.options.deadline - performance.now()));
        try {
            const answer = await this.options.engine.run(this.message, this.abort);
            this.status = answer.status;
            this.headers = answer.headers;
            return this.message.isStream ? await this.relayStream(answer) : await this.relayWhole(answer);
        }
        catch (error) {
            return this.handleFailure(error);
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Ends a run without any answer of the engine: a refusal, or an answer that the ledger has. */
    finishWith(final: AgentToEntry): void {
        this.finalMessage = final;
        this.link?.cast(final);
    }

    /** The entry no longer wants the answer. */
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

    /** The connection to the entry was lost: the run goes on, for a while. */
    removeLink(link: Link, graceMs: number): void {
        if (this.link !== link) {
            return;
        }
        this.link = undefined;
        if (this.message.ledgerKey === undefined && !this.isFinished()) {
            this.detachTimer = setTimeout(() => this.cancel(), graceMs);
        }
    }

    /** Goes on over another connection from a chunk. */
    addLink(link: Link, fromSequence: number, credit: number): void {
        clearTimeout(this.detachTimer);
        if (!this.output.restartAt(fromSequence, credit)) {
            link.cast({
                kind: "runBroken",
                requestId: this.message.requestId,
                code: ProblemCode.AnswerBroken,
                message: "that part of the answer is no longer held",
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

    /** Frees memory: chunks that were already sent are no longer held. */
    dropSent(): number {
        return this.output.dropSent();
    }

    private expire(): void {
        this.isExpired = true;
        this.abort.emit("abort");
    }

    private async relayWhole(answer: EngineResponse): Promise<RunEnd> {
        const body = await answer.readBody();
        const bytes = body.length;
        if (bytes <= MAX_WHOLE_BYTES) {
            const { requestId } = this.message;
            const digest = this.options.hash.h64Raw(body).toString(16);
            this.finishWith({
                kind: "runWhole",
                requestId,
                status: answer.status,
                headers: answer.headers,
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
        return { kind: "complete", answer: { status: answer.status, headers: answer.headers, body } };
    }

    private async relayStream(answer: EngineResponse): Promise<RunEnd> {
        const digest = this.options.hash.create64();
        this.digest = digest;
        this.sendStart();
        for await (const chunk of answer.body) {
            digest.update(chunk);
            this.output.push(chunk);
            this.flush();
            while (this.output.countUnsentBytes() > MAX_UNSENT_BYTES && !this.isCancelled) {
                await new Promise<void>(resolve => {
                    this.wake = resolve;
                });
            }
            if (this.isCancelled) {
                return { kind: "cancelled" };
            }
        }
        this.finishStream();
        await this.waitUntilFlushed();
        return { kind: "complete", answer: { status: answer.status, headers: answer.headers, body: undefined } };
    }

    /** Waits until the entry has taken the whole answer, so that a stopping agent does not cut it off. */
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

    private handleFailure(error: unknown): RunEnd {
        const { requestId } = this.message;
        if (this.isCancelled) {
            this.finishWith({ kind: "runBroken", requestId, code: ProblemCode.Cancelled, message: "cancelled" });
            return { kind: "cancelled" };
        }
        if (error instanceof EngineError && error.isNotStarted) {
            const refusal = { code: ProblemCode.NotReady, message: error.message, retryAfterMs: undefined };
            return { kind: "notStarted", refusal };
        }
        const isDeadline = this.isExpired;
        this.finishWith({
            kind: "runBroken",
            requestId,
            code: isDeadline ? ProblemCode.DeadlineExceeded : ProblemCode.EngineFailed,
            message: isDeadline ? "the deadline passed while it ran" : describeError(error),
        });
        return { kind: "broken", isEngineGone: !isDeadline };
    }
}
