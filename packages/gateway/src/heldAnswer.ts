import { type ByteBudget, ByteCollector } from "@kumquathall/byte-collector";

/** Largest response that is held, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Response without events, which is held until it is complete and can be delivered as a whole. */
export class HeldAnswer {
    private readonly collector: ByteCollector;

    /** `budget` is shared by all responses that are held. */
    constructor(budget: ByteBudget) {
        this.collector = new ByteCollector({ maxBytes: MAX_ANSWER_BYTES, budget });
    }

    /** Adds bytes; returns `false`, and adds none, if the response or all responses together exceed their limit. */
    add(chunk: Buffer): boolean {
        return this.collector.add(chunk);
    }

    getBody(): Buffer {
        return this.collector.join();
    }

    /** Forgets the response. */
    close(): void {
        this.collector.close();
    }
}
