import type { ByteBudget } from "./byteBudget.js";

/** Largest response that is held, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Response without events, which is held until it is complete and can be delivered as a whole. */
export class HeldAnswer {
    private readonly chunks: Buffer[] = [];
    private bytes = 0;

    /** `budget` is shared by all responses that are held. */
    constructor(private readonly budget: ByteBudget) {}

    /** Adds bytes; returns `false`, and adds none, if the response or all responses together exceed their limit. */
    add(chunk: Buffer): boolean {
        if (this.bytes + chunk.length > MAX_ANSWER_BYTES || !this.budget.take(chunk.length)) {
            return false;
        }
        this.bytes += chunk.length;
        this.chunks.push(chunk);
        return true;
    }

    getBody(): Buffer {
        return Buffer.concat(this.chunks);
    }

    /** Returns its bytes to the budget. */
    close(): void {
        this.budget.release(this.bytes);
        this.bytes = 0;
    }
}
