import { type ByteBudget, ByteCollector } from "@kumquathall/byte-collector";
import type { ServerResponse } from "node:http";
import type { RequestScope } from "./requestScope.js";

/** What a caller has not read of one stream, in bytes. */
export const MAX_UNREAD_BYTES = 4 * 1024 * 1024;

/**
 * Writes events to one caller. While the caller has not taken the latest write, what follows is collected: each pending
 * write costs several objects, which small events would fill the memory with long before the limit of their bytes.
 */
export class EventWriter {
    private waiting: ByteCollector;
    private isWriting = false;

    /** `budget` is shared by what all callers have not read. */
    constructor(
        private readonly response: ServerResponse,
        private readonly budget: ByteBudget,
        private readonly scope: RequestScope,
    ) {
        this.waiting = this.createCollector();
        response.once("close", () => this.waiting.close());
    }

    /** Writes an event; returns `false` if the caller, or all callers together, have more to read than may be held. */
    write(event: Buffer): boolean {
        if (this.isWriting) {
            return this.waiting.add(event);
        }
        this.send(event, () => undefined);
        return true;
    }

    /** Ends the response after all events. */
    end(): void {
        if (this.waiting.length === 0) {
            this.response.end();
            return;
        }
        const rest = this.waiting;
        this.response.once("close", () => rest.close());
        this.waiting = this.createCollector();
        this.response.end(rest.join());
    }

    /** Number of bytes that the caller has not taken. */
    countUnreadBytes(): number {
        return this.waiting.length + this.response.writableLength;
    }

    private send(bytes: Buffer, release: () => void): void {
        this.isWriting = true;
        const handleWritten = this.scope.attach((error: Error | null | undefined) => {
            release();
            this.isWriting = false;
            if (!error && this.waiting.length > 0) {
                const collected = this.waiting;
                this.waiting = this.createCollector();
                this.send(collected.join(), () => collected.close());
            }
        });
        this.response.write(bytes, handleWritten);
    }

    private createCollector(): ByteCollector {
        return new ByteCollector({ maxBytes: MAX_UNREAD_BYTES, budget: this.budget });
    }
}
