import { ProblemCode } from "@kumquathall/errors";
import type { Link } from "@kumquathall/link";
import type { AgentToEntry, HeaderField, RunMessage, RunRefusal } from "@kumquathall/types";
import type { XXHash, XXHashAPI } from "xxhash-wasm";

/** How one attempt at one endpoint ended. */
export type AttemptResult =
    | { kind: "complete" }
    | { kind: "refused"; refusal: RunRefusal }
    | { kind: "broken"; code: string; message: string; hasAnswerStarted: boolean };

/** Where the answer goes. */
export interface ResponseSink {
    start(status: number, headers: HeaderField[]): void;
    /** Returns `false` when the caller is slow; `onDrained` tells when it has caught up. */
    write(data: Uint8Array): boolean;
    onDrained(resume: () => void): void;
    /** A whole answer that has passed its check. */
    writeComplete(status: number, headers: HeaderField[], data: Uint8Array): void;
}

export interface RunAttemptOptions {
    message: RunMessage;
    vm: string;
    incarnation: string;
    link: Link;
    sink: ResponseSink;
    hash: XXHashAPI;
    /** Monotonic time at which the caller no longer waits. */
    deadline: number;
    onFirstByte: (latencyMs: number) => void;
    /** The answer is here whole, or refused: the agent need not hold it any longer. */
    onAcknowledge: (runId: string, link: Link) => void;
}

/** How long an attempt waits for its agent to connect again, in milliseconds. */
const REATTACH_MS = 3000;
/** Time after the deadline for the agent's own refusal to arrive, in milliseconds. */
const DEADLINE_GRACE_MS = 100;

/** One attempt: sends a run, checks every frame of its answer, and goes on over a new connection when one is lost. */
export class RunAttempt {
    readonly runId: string;
    readonly vm: string;
    readonly incarnation: string;
    /** Connections that the answer went on over. */
    reattachCount = 0;
    private link: Link | undefined;
    private nextSequence = 0;
    private isStarted = false;
    private pendingCredit = 0;
    private digest: XXHash<bigint> | undefined;
    private settle: ((end: AttemptResult) => void) | undefined;
    private reattachTimer: NodeJS.Timeout | undefined;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private readonly sentAt = performance.now();

    constructor(private readonly options: RunAttemptOptions) {
        this.runId = options.message.requestId;
        this.vm = options.vm;
        this.incarnation = options.incarnation;
        this.link = options.link;
    }

    /** Runs the attempt; never rejects. */
    run(): Promise<AttemptResult> {
        return new Promise(resolve => {
            this.settle = resolve;
            const leftMs = Math.max(0, this.options.deadline - performance.now()) + DEADLINE_GRACE_MS;
            this.deadlineTimer = setTimeout(() => this.expire(), leftMs);
            this.link?.cast(this.options.message);
        });
    }

    /** The caller went away. */
    cancel(): void {
        this.link?.cast({ kind: "runCancel", requestId: this.runId });
        this.finish({
            kind: "broken",
            code: ProblemCode.Cancelled,
            message: "the caller went away",
            hasAnswerStarted: this.isStarted,
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
                    hasAnswerStarted: this.isStarted,
                });
                return;
        }
    }

    handleLinkClosed(link: Link): void {
        if (link === this.link) {
            this.link = undefined;
            this.reattachTimer = setTimeout(
                () => this.fail(ProblemCode.AnswerBroken, "the connection to the endpoint was lost"),
                REATTACH_MS,
            );
        }
    }

    handleAgentReconnect(incarnation: string, link: Link): void {
        if (this.link === link) {
            return;
        }
        if (incarnation !== this.incarnation) {
            this.fail(ProblemCode.AnswerBroken, "the endpoint restarted while it ran the request");
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
                this.fail(ProblemCode.AnswerBroken, `chunk ${sequence} arrived in place of ${this.nextSequence}`);
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
            this.fail(ProblemCode.AnswerBroken, "the answer does not match its count and digest");
            return;
        }
        this.finish({ kind: "complete" });
    }

    private formatDigest(): string {
        return (this.digest ?? this.options.hash.create64()).digest().toString(16);
    }

    private handleWhole(message: Extract<AgentToEntry, { kind: "runWhole" }>): void {
        if (this.options.hash.h64Raw(message.data).toString(16) !== message.digest) {
            this.fail(ProblemCode.AnswerBroken, "the answer does not match its digest");
            return;
        }
        this.options.onFirstByte(performance.now() - this.sentAt);
        this.options.sink.writeComplete(message.status, message.headers, message.data);
        this.finish({ kind: "complete" });
    }

    private expire(): void {
        this.link?.cast({ kind: "runCancel", requestId: this.runId });
        this.fail(ProblemCode.DeadlineExceeded, "the deadline passed");
    }

    private fail(code: string, message: string): void {
        this.finish({ kind: "broken", code, message, hasAnswerStarted: this.isStarted });
    }

    private finish(end: AttemptResult): void {
        if (this.link !== undefined && this.settle !== undefined && end.kind !== "broken") {
            this.options.onAcknowledge(this.runId, this.link);
        }
        clearTimeout(this.reattachTimer);
        clearTimeout(this.deadlineTimer);
        this.settle?.(end);
        this.settle = undefined;
    }
}
