import type { ServerResponse } from "node:http";

/** Memory of whole answers that callers have not read, in bytes. */
const MAX_UNREAD_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Whole answers that were sent and that their callers have not read. Above the limit, the connection of the caller that
 * has not read its answer for longest is closed: answers to other callers are delivered.
 */
export class UnreadAnswers {
    /** Bytes of each answer, oldest first. */
    private readonly answers = new Map<ServerResponse, number>();
    private held = 0;

    constructor(private readonly onClose: () => void, private readonly maxBytes = MAX_UNREAD_ANSWER_BYTES) {}

    getHeld(): number {
        return this.held;
    }

    /** Records an answer until the caller has read it or its connection is closed. */
    add(response: ServerResponse, bytes: number): void {
        this.answers.set(response, bytes);
        this.held += bytes;
        response.once("close", () => this.remove(response));
        for (const oldest of this.answers.keys()) {
            if (this.held <= this.maxBytes || oldest === response) {
                return;
            }
            this.remove(oldest);
            this.onClose();
            oldest.destroy();
        }
    }

    private remove(response: ServerResponse): void {
        this.held -= this.answers.get(response) ?? 0;
        this.answers.delete(response);
    }
}
