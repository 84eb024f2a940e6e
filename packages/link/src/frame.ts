import { KumquathallError } from "@kumquathall/errors";
import { Encoder } from "cbor-x";

/** Largest frame body accepted, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const HEADER_BYTES = 4;

/** A message can't be encoded, or a frame is too large. A connection that received a frame that is too large must be closed. */
export class FrameError extends KumquathallError {}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

/**
 * Encodes a message as a 4-byte big-endian length and a CBOR body. Throws {@link FrameError} if it is too large or holds
 * what can't be encoded, for example lists that are nested too deep.
 */
export function encodeFrame(message: unknown): Buffer {
    const body = encodeBody(message);
    if (body.length > MAX_FRAME_BYTES) {
        throw new FrameError(`a frame of ${body.length} bytes exceeds the limit of ${MAX_FRAME_BYTES}`);
    }
    const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, HEADER_BYTES);
    return frame;
}

/** Decodes frames from a stream of bytes. */
export class FrameDecoder {
    private incomplete: Buffer = Buffer.alloc(0);

    /** `onMalformed` is called for each frame that is not valid CBOR; such a frame is skipped. */
    constructor(private readonly onMalformed: (error: unknown) => void = () => undefined) {}

    /** Decodes all frames completed by `data`. Throws {@link FrameError} if a frame is too large. */
    decode(data: Buffer): unknown[] {
        const buffer = this.incomplete.length === 0 ? data : Buffer.concat([this.incomplete, data]);
        const messages: unknown[] = [];
        let offset = 0;
        while (buffer.length - offset >= HEADER_BYTES) {
            const length = buffer.readUInt32BE(offset);
            if (length > MAX_FRAME_BYTES) {
                throw new FrameError(`a frame of ${length} bytes exceeds the limit of ${MAX_FRAME_BYTES}`);
            }
            const end = offset + HEADER_BYTES + length;
            if (buffer.length < end) {
                break;
            }
            this.decodeBody(buffer.subarray(offset + HEADER_BYTES, end), messages);
            offset = end;
        }
        this.incomplete = offset === buffer.length ? Buffer.alloc(0) : buffer.subarray(offset);
        return messages;
    }

    private decodeBody(body: Buffer, messages: unknown[]): void {
        try {
            messages.push(codec.decode(body));
        }
        catch (error) {
            this.onMalformed(error);
        }
    }
}

function encodeBody(message: unknown): Buffer {
    try {
        return codec.encode(message);
    }
    catch (error) {
        throw new FrameError("a message can't be encoded", error);
    }
}
