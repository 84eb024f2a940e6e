import type { ByteBudget } from "@kumquathall/byte-collector";
import type { ServerResponse } from "node:http";
import { EventWriter } from "./eventWriter.js";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import { type Refusal, refuse } from "./refusal.js";
import type { RequestScope } from "./requestScope.js";
import type { UnreadAnswers } from "./unreadAnswers.js";

export interface CallerResponseOptions {
    response: ServerResponse;
    codec: HttpHeaderCodec;
    /** Id of the caller's request. */
    requestId: string | undefined;
    /** Memory of the events that all callers have not read. */
    unreadEventBytes: ByteBudget;
    unreadAnswers: UnreadAnswers;
    scope: RequestScope;
}

type Headers = Record<string, string | string[] | undefined>;

/** The response to one caller: whole events after one head, a whole answer, or a refusal. */
export class CallerResponse {
    /** Monotonic time at which the response began, in milliseconds. */
    firstByteAt: number | undefined;
    /** Monotonic time of the latest event, in milliseconds; 0 before the first. */
    lastByteAt = 0;

    private readonly events: EventWriter;

    constructor(private readonly options: CallerResponseOptions) {
        this.events = new EventWriter(options.response, options.unreadEventBytes, options.scope);
    }

    hasBegun(): boolean {
        return this.firstByteAt !== undefined;
    }

    writeHead(status: number, headers: Headers): void {
        const { response, codec } = this.options;
        this.firstByteAt = performance.now();
        response.writeHead(status, codec.encodeResponse(headers));
    }

    /** Writes an event; returns `false` if the caller has more to read than may be held. */
    writeEvent(bytes: Buffer): boolean {
        this.lastByteAt = performance.now();
        return this.events.write(bytes);
    }

    /** Ends a stream as complete. */
    endStream(): void {
        this.events.end();
    }

    /** Sends a whole answer. */
    deliver(status: number, headers: Headers, body: Buffer): void {
        const { response, codec } = this.options;
        this.firstByteAt = performance.now();
        response.writeHead(status, { ...codec.encodeResponse(headers), "content-length": String(body.length) });
        response.end(body);
        this.options.unreadAnswers.add(response, body.length);
    }

    refuse(refusal: Refusal): void {
        const { response, codec, requestId } = this.options;
        refuse(response, codec, requestId, refusal);
    }
}
