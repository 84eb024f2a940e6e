import { KumquathallError } from "@kumquathall/errors";
import { Encoder } from "cbor-x";
import { crc32 } from "node:zlib";

/** Error of the storage layer: corruption, a failed write or sync, a format that this version cannot read. */
export class StorageError extends KumquathallError {}

/** Version of the block format, written in every block. */
export const FORMAT_VERSION = 1;
const MAGIC = 0x4b48;
/** Magic (2 bytes), format version (2), length (4), CRC-32 of the body (4). */
const HEADER_BYTES = 12;

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

/** Encodes records that are written and synced together as one block. */
export function encodeBlock(records: unknown[]): Buffer {
    const body = codec.encode(records);
    const block = Buffer.allocUnsafe(HEADER_BYTES + body.length);
    block.writeUInt16BE(MAGIC, 0);
    block.writeUInt16BE(FORMAT_VERSION, 2);
    block.writeUInt32BE(body.length, 4);
    block.writeUInt32BE(crc32(body), 8);
    body.copy(block, HEADER_BYTES);
    return block;
}

/** Returns the encoded size of a record in a block or frame, in bytes. */
export function measureRecord(record: unknown): number {
    return codec.encode(record).length;
}

export interface DecodedBlocks {
    records: unknown[];
    blockCount: number;
    /** Bytes of whole blocks; anything after is a torn tail. */
    validBytes: number;
}

/**
 * Decodes all blocks of a file. A damaged last block is a torn write and is left out.
 * Throws {@link StorageError} with file and offset if a whole block follows the damage, since cutting the file there
 * would lose synced records.
 */
export function decodeBlocks(name: string, file: Buffer): DecodedBlocks {
    const records: unknown[] = [];
    let blockCount = 0;
    let offset = 0;
    while (offset < file.length) {
        const body = readBlock(name, file, offset);
        if (body === undefined) {
            checkNoBlockFollows(name, file, offset);
            break;
        }
        records.push(...codec.decode(body) as unknown[]);
        blockCount++;
        offset += HEADER_BYTES + body.length;
    }
    return { records, blockCount, validBytes: offset };
}

function readBlock(name: string, file: Buffer, offset: number): Buffer | undefined {
    if (file.length - offset < HEADER_BYTES || file.readUInt16BE(offset) !== MAGIC) {
        return undefined;
    }
    const length = file.readUInt32BE(offset + 4);
    const end = offset + HEADER_BYTES + length;
    if (end > file.length) {
        return undefined;
    }
    const body = file.subarray(offset + HEADER_BYTES, end);
    if (crc32(body) !== file.readUInt32BE(offset + 8)) {
        return undefined;
    }
    const version = file.readUInt16BE(offset + 2);
    if (version !== FORMAT_VERSION) {
        throw new StorageError(
            `${name}: format version ${version} at offset ${offset}; this program reads version ${FORMAT_VERSION}`,
        );
    }
    return body;
}

function checkNoBlockFollows(name: string, file: Buffer, damagedAt: number): void {
    for (let offset = damagedAt + 1; offset + HEADER_BYTES <= file.length; offset++) {
        if (file.readUInt16BE(offset) === MAGIC && readBlock(name, file, offset) !== undefined) {
            throw new StorageError(
                `${name}: damaged at offset ${damagedAt}, but a whole block follows at offset ${offset}. `
                    + "Remove the data folder of this member and start it again; it copies the state of another member",
            );
        }
    }
}
