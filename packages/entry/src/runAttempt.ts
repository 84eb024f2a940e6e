import { ProblemCode } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { AgentToEntry, HeaderField, RunMessage, RunRefusal } from "@kumquathall/types";
import type { XXHash, XXHashAPI } from "xxhash-wasm";

/** Result of an attempt to run a request on one endpoint. */
export type AttemptResult =
    | { kind: "complete" }
    | { kind: "refused"; refusal: RunRefusal }
    | { kind: "broken"; code: string; message: string; hasResponseStarted: boolean };

/** Receives the response of an attempt. */
export interface ResponseSink {
    start(status: number, headers: HeaderField[]): void;
    /** Returns `false` if the write buffer is full; `onDrained` then calls back once it has drained. */
    write(data: Uint8Array): boolean;
    onDrained(resume: () => void): void;
    /** Writes a complete response whose digest has been verified. */
    writeComplete(status: number, headers: HeaderField[], data: Uint8Array): void;
}

export interface RunAttemptOptions {
    message: RunMessage;
    vm: string;
    incarnation: string;
    link: Link;
    sink: ResponseSink;
    hash: XXHashAPI;
    /** Monotonic time of the request's deadline. */
    deadline: number;
    onFirstByte: (latencyMs: number) => void;
    /** Called once the complete response or a refusal has arrived; the agent can then drop its copy. */
    onAcknowledge: (runId: string, link: Link) => void;
}

/** How long an attempt waits for its agent to reconnect, in milliseconds. */
const REATTACH_TIMEOUT_MS = 3000;
/** Time after the deadline within which the agent's own refusal can arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 100;

/**
 * Sends a run to one agent and verifies every frame of the response. If the connection is lost, the response is resumed
 * over a new one.
 */
export class RunAttempt {
    readonly runId: string;
    readonly vm: string;
    readonly incarnation: string;
    /** Number of connections over which the response was resumed. */
    reattachCount = 0;
    private link: Link | undefined;
    private nextSequence = 0;
    private isStarted = false;
    private pendingCredit = 0;
    private digest: XXHash<bigint> | undefined;
    private settle: ((result: AttemptResult) => void) | undefined;
    private reattachTimer: NodeJS.Timeout | undefined;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private readonly sentAt = performance.now();

    constructor(private readonly options: RunAttemptOptions) {
        this.runId = options.message.requestId;
        this.vm = options.vm;
        this.incarnation = options.incarnation;
        this.link = options.link;
    }

    /** Runs the attempt. Never rejects. */
    run(): Promise<AttemptResult> {
        return new Promise(resolve => {
            this.settle = resolve;
            const remainingMs = Math.max(0, this.options.deadline - performance.now()) + DEADLINE_GRACE_MS;
            this.deadlineTimer = setTimeout(() => this.expire(), remainingMs);
            this.link?.cast(this.options.message);
        });
    }

    /** Cancels the attempt because the caller disconnected. */
    cancel(): void {
        this.link?.cast({ kind: "runCancel", requestId: this.runId });
        this.finish({
            kind: "broken",
            code: ProblemCode.Cancelled,
            message: "the caller disconnected",
            hasResponseStarted: this.isStarted,
        });
    }

    handleMessage(message: AgentToEntry, link: Link): void {
        if (link !== this.link || this.settle === undefined) {
            return;
        }
        switch (message.kind) {
            case "runStart":
                this.handleStart(message.status, message.headers);
                return;
            case "runChunk":
                this.handleChunk(message.sequence, message.data);
                return;
            case "runEnd":
                this.handleEnd(message.chunks, message.digest);
                return;
            case "runWhole":
                this.handleWhole(message);
                return;
            case "runRefused":
                this.finish({ kind: "refused", refusal: message.refusal });
                return;
            case "runBroken":
                this.finish({
                    kind: "broken",
                    code: message.code,
                    message: message.message,
                    hasResponseStarted: this.isStarted,
                });
                return;
        }
    }

    handleLinkClosed(link: Link): void {
        if (link === this.link) {
            this.link = undefined;
            this.reattachTimer = setTimeout(
                () => this.fail(ProblemCode.AnswerBroken, "the connection to the endpoint was lost"),
                REATTACH_TIMEOUT_MS,
            );
        }
    }

    handleAgentReconnect(incarnation: string, link: Link): void {
        if (this.link === link) {
            return;
        }
        if (incarnation !== this.incarnation) {
            this.fail(ProblemCode.AnswerBroken, "the endpoint restarted while running the request");
            return;
        }
        clearTimeout(this.reattachTimer);
        this.reattachCount++;
        this.link = link;
        link.cast({
            kind: "runAttach",
            requestId: this.runId,
            fromSequence: this.nextSequence,
            credit: this.options.message.credit,
        });
    }

    private handleStart(status: number, headers: HeaderField[]): void {
        if (!this.isStarted) {
            this.isStarted = true;
            this.options.onFirstByte(performance.now() - this.sentAt);
            this.options.sink.start(status, headers);
        }
    }

    private handleChunk(sequence: number, data: Uint8Array): void {
        if (sequence !== this.nextSequence) {
            if (sequence > this.nextSequence) {
                this.fail(ProblemCode.AnswerBroken, `received chunk ${sequence}, expected ${this.nextSequence}`);
            }
            return;
        }
        this.nextSequence++;
        this.digest ??= this.options.hash.create64();
        this.digest.update(data);
        this.pendingCredit += data.length;
        if (this.options.sink.write(data)) {
            this.grantCredit();
        }
        else {
            this.options.sink.onDrained(() => this.grantCredit());
        }
    }

    private grantCredit(): void {
        if (this.pendingCredit > this.options.message.credit / 4) {
            this.link?.cast({ kind: "runCredit", requestId: this.runId, bytes: this.pendingCredit });
            this.pendingCredit = 0;
        }
    }

    private handleEnd(chunks: number, digest: string): void {
        if (chunks !== this.nextSequence || digest !== this.formatDigest()) {
            this.fail(ProblemCode.AnswerBroken, "the response does not match its chunk count and digest");
            return;
        }
        this.finish({ kind: "complete" });
    }

    private formatDigest(): string {
        return (this.digest ?? this.options.hash.create64()).digest().toString(16);
    }

    private handleWhole(message: Extract<AgentToEntry, { kind: "runWhole" }>): void {
        if (this.options.hash.h64Raw(message.data).toString(16) !== message.digest) {
            this.fail(ProblemCode.AnswerBroken, "the response does not match its digest");
            return;
        }
        this.options.onFirstByte(performance.now() - this.sentAt);
        this.options.sink.writeComplete(message.status, message.headers, message.data);
        this.finish({ kind: "complete" });
    }

    private expire(): void {
        this.link?.cast({ kind: "runCancel", requestId: this.runId });
        this.fail(ProblemCode.DeadlineExceeded, "the deadline expired");
    }

    private fail(code: string, message: string): void {
        this.finish({ kind: "broken", code, message, hasResponseStarted: this.isStarted });
    }

    private finish(result: AttemptResult): void {
        if (this.link !== undefined && this.settle !== undefined && result.kind !== "broken") {
            this.options.onAcknowledge(this.runId, this.link);
        }
        clearTimeout(this.reattachTimer);
        clearTimeout(this.deadlineTimer);
        this.settle?.(result);
        this.settle = undefined;
    }
}
