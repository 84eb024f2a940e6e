import { KumquathallError } from "@kumquathall/errors";
import { Encoder } from "cbor-x";

/** Largest frame body accepted, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;
const HEADER_BYTES = 4;

/** A frame is too large or not valid CBOR. A connection that received such a frame must be closed. */
export class FrameError extends KumquathallError {}

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

/** Encodes a message as a 4-byte big-endian length and a CBOR body. Throws {@link FrameError} if it is too large. */
export function encodeFrame(message: unknown): Buffer {
    const body = codec.encode(message);
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

    /** Decodes all frames completed by `data`. Throws {@link FrameError} if a frame is too large or not valid CBOR. */
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
            messages.push(decodeBody(buffer.subarray(offset + HEADER_BYTES, end)));
            offset = end;
        }
        this.incomplete = offset === buffer.length ? Buffer.alloc(0) : buffer.subarray(offset);
        return messages;
    }
}

function decodeBody(body: Buffer): unknown {
    try {
        return codec.decode(body);
    }
    catch (error) {
        throw new FrameError("a frame does not contain a valid CBOR value", error);
    }
}
