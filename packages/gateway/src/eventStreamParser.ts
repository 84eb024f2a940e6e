import { type ByteBudget, ByteCollector } from "@kumquathall/byte-collector";
import { parseEventId } from "./eventId.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE_PATTERN = /^id:[ \t]*(\d+)[ \t]*$/m;
/** Largest event that is held until it is complete, in bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;
/** Lines without which a block is no event: comments, and the time after which to connect again. */
const COMMENT_PATTERN = /^(?:(?::|retry:)[^\n]*)?\r?$/;

/** One complete event of a stream, with its bytes unchanged. */
export interface StreamEvent {
    /** Decimal digits, as the endpoint wrote them. */
    id: string | undefined;
    /** It carries nothing that belongs to the stream's content. */
    isComment: boolean;
    bytes: Buffer;
}

/** What the latest bytes of an event were, as far as they may belong to the empty line that ends it. */
const Ending = { None: 0, LineFeed: 1, LineFeedAndReturn: 2 } as const;

/** Splits an event stream into complete events, so that a part of an event is never forwarded. */
export class EventStreamParser {
    /** The bytes after the last complete event. */
    private readonly pending: ByteCollector;
    private ending: number = Ending.None;
    private isOverLimit = false;

    /** `budget` is shared by all that is held of responses. */
    constructor(budget?: ByteBudget) {
        this.pending = new ByteCollector({ maxBytes: MAX_EVENT_BYTES, ...(budget === undefined ? {} : { budget }) });
    }

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        let end = this.findEventEnd(chunk, start);
        while (end !== undefined && this.completeEvent(chunk.subarray(start, end), events)) {
            start = end;
            end = this.findEventEnd(chunk, start);
        }
        if (!this.isOverLimit && !this.pending.add(chunk.subarray(start))) {
            this.isOverLimit = true;
        }
        return events;
    }

    /** Number of bytes after the last complete event. */
    countIncompleteBytes(): number {
        return this.pending.length;
    }

    /** Bytes after the last complete event. */
    getIncompleteBytes(): Buffer {
        return this.pending.join();
    }

    /** Whether an event is larger than may be held. What follows is not parsed. */
    hasExceededLimit(): boolean {
        return this.isOverLimit;
    }

    /** Forgets the incomplete event. */
    close(): void {
        this.pending.close();
    }

    /** Appends the event that ends with these bytes; returns `false` if it is too large. */
    private completeEvent(last: Buffer, events: StreamEvent[]): boolean {
        if (this.pending.length === 0 && last.length <= MAX_EVENT_BYTES) {
            events.push(decodeEvent(last));
            return true;
        }
        this.isOverLimit = !this.pending.add(last);
        if (!this.isOverLimit) {
            events.push(decodeEvent(this.pending.join()));
            this.pending.close();
        }
        return !this.isOverLimit;
    }

    /** Finds the offset after the empty line that ends the current event, which may have begun in earlier chunks. */
    private findEventEnd(chunk: Buffer, start: number): number | undefined {
        let at = start;
        while (at < chunk.length) {
            const byte = chunk[at];
            at++;
            if (byte === LINE_FEED) {
                const isEnd = this.ending !== Ending.None;
                this.ending = isEnd ? Ending.None : Ending.LineFeed;
                if (isEnd) {
                    return at;
                }
            }
            else if (byte === CARRIAGE_RETURN && this.ending === Ending.LineFeed) {
                this.ending = Ending.LineFeedAndReturn;
            }
            else {
                this.ending = Ending.None;
                const next = chunk.indexOf(LINE_FEED, at);
                at = next === -1 ? chunk.length : next;
            }
        }
        return undefined;
    }
}

function decodeEvent(bytes: Buffer): StreamEvent {
    const text = bytes.toString("latin1");
    const id = findEventId(bytes, text);
    return {
        id,
        isComment: id === undefined && text.split("\n").every(line => COMMENT_PATTERN.test(line)),
        bytes,
    };
}

function findEventId(bytes: Buffer, text: string): string | undefined {
    const match = ID_LINE_PATTERN.exec(text);
    if (match === null) {
        return undefined;
    }
    const start = match.index + match[0].indexOf(match[1]);
    // A copy: a part of `text` would keep the whole event in memory.
    return parseEventId(bytes.toString("latin1", start, start + match[1].length));
}
