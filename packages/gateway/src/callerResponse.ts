import type { ServerResponse } from "node:http";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import { type Refusal, refuse } from "./refusal.js";

export interface CallerResponseOptions {
    response: ServerResponse;
    codec: HttpHeaderCodec;
    /** Id of the caller's request. */
    requestId: string | undefined;
}

type Headers = Record<string, string | string[] | undefined>;

/** The response to one caller: whole events after one head, a whole answer, or a refusal. */
export class CallerResponse {
    /** Monotonic time at which the response began, in milliseconds. */
    firstByteAt: number | undefined;
    /** Monotonic time of the latest event, in milliseconds; 0 before the first. */
    lastByteAt = 0;

    constructor(private readonly options: CallerResponseOptions) {}

    hasBegun(): boolean {
        return this.firstByteAt !== undefined;
    }

    writeHead(status: number, headers: Headers): void {
        const { response, codec } = this.options;
        this.firstByteAt = performance.now();
        response.writeHead(status, codec.encodeResponse(headers));
    }

    writeEvent(bytes: Buffer): void {
        this.lastByteAt = performance.now();
        this.options.response.write(bytes);
    }

    /** Number of bytes that the caller has not read. */
    countUnreadBytes(): number {
        return this.options.response.writableLength;
    }

    /** Ends a stream as complete. */
    endStream(): void {
        this.options.response.end();
    }

    /** Sends a whole answer. */
    deliver(status: number, headers: Headers, body: Buffer): void {
        const { response, codec } = this.options;
        this.firstByteAt = performance.now();
        response.writeHead(status, { ...codec.encodeResponse(headers), "content-length": String(body.length) });
        response.end(body);
    }

    refuse(refusal: Refusal): void {
        const { response, codec, requestId } = this.options;
        refuse(response, codec, requestId, refusal);
    }
}
