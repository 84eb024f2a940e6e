const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Lines without which a block is no event: comments, and the time after which to connect again. */
const COMMENT_PATTERN = /^(?:(?::|retry:)[^\n]*)?\r?$/;
const ID_PATTERN = /^id:\s*(\d+)\s*$/m;

/** One complete event of a stream, with its bytes unchanged. */
export interface StreamEvent {
    id: number | undefined;
    /** It carries nothing that belongs to the stream's content. */
    isComment: boolean;
    bytes: Buffer;
}

/** Splits an event stream into complete events, so that a part of an event is never forwarded. */
export class EventStreamParser {
    private pending: Buffer = Buffer.alloc(0);

    /** Adds bytes and returns the events that are now complete. */
    push(chunk: Buffer): StreamEvent[] {
        const buffer = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        let end = findEventEnd(buffer, start);
        while (end !== undefined) {
            events.push(decodeEvent(buffer.subarray(start, end)));
            start = end;
            end = findEventEnd(buffer, start);
        }
        this.pending = buffer.subarray(start);
        return events;
    }

    /** Bytes after the last complete event. */
    getIncompleteBytes(): Buffer {
        return this.pending;
    }
}

function decodeEvent(bytes: Buffer): StreamEvent {
    const text = bytes.toString("latin1");
    const id = ID_PATTERN.exec(text)?.[1];
    return {
        id: id === undefined ? undefined : Number(id),
        isComment: id === undefined && text.split("\n").every(line => COMMENT_PATTERN.test(line)),
        bytes,
    };
}

/** Finds the offset after the empty line that ends an event. */
function findEventEnd(buffer: Buffer, start: number): number | undefined {
    for (let at = buffer.indexOf(LINE_FEED, start); at !== -1; at = buffer.indexOf(LINE_FEED, at + 1)) {
        const next = buffer[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1;
        if (buffer[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return undefined;
}
