import { KumquathallError } from "@kumquathall/errors";
import { Encoder } from "cbor-x";

/** Largest frame body accepted, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const HEADER_BYTES = 4;

/** A frame that cannot be read. The connection it came from is closed. */
export class FrameError extends KumquathallError {}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

/** Encodes a message as a 4-byte big-endian length and its cbor body. */
export function encodeFrame(message: unknown): Buffer {
    const body = codec.encode(message);
    if (body.length > MAX_FRAME_BYTES) {
        throw new FrameError(`a frame of ${body.length} bytes exceeds the bound of ${MAX_FRAME_BYTES}`);
    }
    const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, HEADER_BYTES);
    return frame;
}

/** Collects bytes and decodes the frames in them. */
export class FrameDecoder {
    private pending: Buffer = Buffer.alloc(0);

    /** Decodes all frames completed by `data`. Throws {@link FrameError} on a frame that is over the bound or not cbor. */
    decode(data: Buffer): unknown[] {
        const buffer = this.pending.length === 0 ? data : Buffer.concat([this.pending, data]);
        const messages: unknown[] = [];
        let offset = 0;
        while (buffer.length - offset >= HEADER_BYTES) {
            const length = buffer.readUInt32BE(offset);
            if (length > MAX_FRAME_BYTES) {
                throw new FrameError(`a frame of ${length} bytes exceeds the bound of ${MAX_FRAME_BYTES}`);
            }
            const end = offset + HEADER_BYTES + length;
            if (buffer.length < end) {
                break;
            }
            messages.push(decodeBody(buffer.subarray(offset + HEADER_BYTES, end)));
            offset = end;
        }
        this.pending = offset === buffer.length ? Buffer.alloc(0) : buffer.subarray(offset);
        return messages;
    }
}

function decodeBody(body: Buffer): unknown {
    try {
        return codec.decode(body);
    }
    catch (error) {
        throw new FrameError("a frame does not hold a cbor value", error);
    }
}
