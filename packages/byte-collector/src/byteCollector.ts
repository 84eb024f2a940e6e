import type { ByteBudget } from "./byteBudget.js";

export interface ByteCollectorOptions {
    /** Most bytes that are collected. */
    maxBytes: number;
    /** Memory that all collectors of a kind may hold. */
    budget?: ByteBudget;
}

/** Sizes of the blocks into which chunks are copied, in bytes. Blocks double in size between them. */
const MIN_BLOCK_BYTES = 256;
const MAX_BLOCK_BYTES = 256 * 1024;

/**
 * Collects chunks of bytes by copying them into larger blocks. A chunk that is kept as it arrives costs far more than its
 * bytes if it is small, and keeps the buffer alive that it was read into. What is held is at most twice the bytes, plus
 * one smallest block.
 */
export class ByteCollector {
    private blocks: Buffer[] = [];
    /** Bytes of the last block that are in use. */
    private filled = 0;
    private bytes = 0;
    private held = 0;

    constructor(private readonly options: ByteCollectorOptions) {}

    /** Number of bytes that were added. */
    get length(): number {
        return this.bytes;
    }

    /** Adds a copy of a chunk; returns `false`, and adds nothing, if that would exceed a limit. */
    add(chunk: Uint8Array): boolean {
        const last = this.blocks.at(-1);
        const free = last === undefined ? 0 : last.length - this.filled;
        const missing = chunk.length - free;
        if (this.bytes + chunk.length > this.options.maxBytes || (missing > 0 && !this.canHold(missing))) {
            return false;
        }
        const fitting = Math.min(free, chunk.length);
        last?.set(chunk.subarray(0, fitting), this.filled);
        this.filled += fitting;
        if (missing > 0) {
            this.addBlock(missing).set(chunk.subarray(fitting));
            this.filled = missing;
        }
        this.bytes += chunk.length;
        return true;
    }

    /** Returns all bytes as one buffer. It stays charged to the budget until `close`. */
    join(): Buffer {
        if (this.blocks.length > 1) {
            const full = this.blocks.slice(0, -1);
            this.blocks = [Buffer.concat([...full, this.blocks[full.length].subarray(0, this.filled)])];
            this.filled = this.bytes;
        }
        return this.blocks.length === 0 ? Buffer.alloc(0) : this.blocks[0].subarray(0, this.filled);
    }

    /** Forgets the bytes and returns their memory to the budget. More can be added. */
    close(): void {
        this.options.budget?.release(this.held);
        this.blocks = [];
        this.filled = 0;
        this.bytes = 0;
        this.held = 0;
    }

    private canHold(bytes: number): boolean {
        const size = this.computeBlockSize(bytes);
        return this.options.budget === undefined || this.options.budget.take(size);
    }

    /** Adds the block that `canHold` has charged to the budget. */
    private addBlock(bytes: number): Buffer {
        const block = Buffer.allocUnsafeSlow(this.computeBlockSize(bytes));
        this.held += block.length;
        this.blocks.push(block);
        return block;
    }

    private computeBlockSize(bytes: number): number {
        return Math.max(bytes, Math.min(Math.max(this.held, MIN_BLOCK_BYTES), MAX_BLOCK_BYTES));
    }
}
