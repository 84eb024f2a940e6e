import type { ServerResponse } from "node:http";

/** Memory of whole answers that callers have not read from which no further request is accepted, in bytes. */
const FULL_BYTES = 64 * 1024 * 1024;
/** Memory that they may hold with the answers to requests that were accepted before, in bytes. */
const MAX_BYTES = 96 * 1024 * 1024;
/** An answer that its caller has not read for this long is given up where the memory is needed, in milliseconds. */
const STUCK_AFTER_MS = 15_000;

export interface UnreadAnswersOptions {
    /** Called when an answer is given up. */
    onClose: () => void;
    /** Called when an answer has been read or given up. */
    onRoom?: () => void;
    /** From how many bytes no further request is accepted. */
    fullBytes?: number;
    /** How many bytes may be held at most. */
    maxBytes?: number;
}

interface UnreadAnswer {
    bytes: number;
    /** Monotonic time at which it was sent, in milliseconds. */
    sentAt: number;
}

/**
 * Whole answers that were sent and that their callers have not read. Callers that read slowly get theirs: further requests
 * are refused first, and only answers that are stuck, or that exceed the maximum, are given up, the oldest first.
 */
export class UnreadAnswers {
    /** Answers by response, oldest first. */
    private readonly answers = new Map<ServerResponse, UnreadAnswer>();
    private held = 0;

    constructor(private readonly options: UnreadAnswersOptions) {}

    getHeld(): number {
        return this.held;
    }

    /** Whether a further answer would not fit. Gives up answers that are stuck. */
    isFull(now: number): boolean {
        const { fullBytes = FULL_BYTES } = this.options;
        for (const [response, { sentAt }] of this.answers) {
            if (this.held < fullBytes || now - sentAt < STUCK_AFTER_MS) {
                break;
            }
            this.abandon(response);
        }
        return this.held >= fullBytes;
    }

    /** Records an answer until the caller has read it or its connection is closed. */
    add(response: ServerResponse, bytes: number): void {
        const { maxBytes = MAX_BYTES } = this.options;
        this.answers.set(response, { bytes, sentAt: performance.now() });
        this.held += bytes;
        response.once("close", () => this.remove(response));
        for (const oldest of this.answers.keys()) {
            if (this.held <= maxBytes || oldest === response) {
                return;
            }
            this.abandon(oldest);
        }
    }

    private abandon(response: ServerResponse): void {
        this.remove(response);
        this.options.onClose();
        response.destroy();
    }

    private remove(response: ServerResponse): void {
        const answer = this.answers.get(response);
        if (answer === undefined) {
            return;
        }
        this.held -= answer.bytes;
        this.answers.delete(response);
        this.options.onRoom?.();
    }
}
