import { ByteCollector } from "@kumquathall/byte-collector";

/** Bytes that are gathered into one chunk before the next one begins. */
const MAX_CHUNK_BYTES = 64 * 1024;
/** Memory that a chunk takes beside its bytes, in bytes. */
const CHUNK_OVERHEAD_BYTES = 256;

/**
 * Buffers one response in numbered chunks, so that a new connection can resume it. Sending is limited by credit. What
 * arrives before the next chunk is sent joins it, since each chunk costs far more than a few bytes.
 */
export class OutputBuffer {
    private readonly chunks: Uint8Array[] = [];
    /** Bytes that no chunk holds yet. */
    private gathered = new ByteCollector({ maxBytes: Number.POSITIVE_INFINITY });
    /** Sequence number of the first buffered chunk. */
    private firstBuffered = 0;
    /** Bytes of the buffered chunks. */
    private bytes = 0;
    private nextToSend = 0;
    private credit: number;

    constructor(credit: number) {
        this.credit = credit;
    }

    /** Memory that is held, in bytes. */
    getBytes(): number {
        return this.bytes + this.gathered.length + this.chunks.length * CHUNK_OVERHEAD_BYTES;
    }

    /** Counts all chunks of the response so far, including dropped ones. */
    countChunks(): number {
        return this.firstBuffered + this.chunks.length + (this.gathered.length > 0 ? 1 : 0);
    }

    /** Counts the bytes that have not been sent yet. */
    countUnsentBytes(): number {
        let sum = this.gathered.length;
        for (let at = this.nextToSend - this.firstBuffered; at < this.chunks.length; at++) {
            sum += this.chunks[at].length;
        }
        return sum;
    }

    push(chunk: Uint8Array): void {
        this.gathered.add(chunk);
        if (this.gathered.length >= MAX_CHUNK_BYTES) {
            this.completeChunk();
        }
    }

    addCredit(bytes: number): void {
        this.credit += bytes;
    }

    /** Takes the next chunk if there is one and credit is above zero. The credit may drop below zero by one chunk. */
    takeNext(): { sequence: number; data: Uint8Array } | undefined {
        if (this.credit <= 0) {
            return undefined;
        }
        if (this.nextToSend === this.firstBuffered + this.chunks.length) {
            this.completeChunk();
        }
        const data = this.chunks[this.nextToSend - this.firstBuffered];
        if (data === undefined) {
            return undefined;
        }
        this.credit -= data.length;
        return { sequence: this.nextToSend++, data };
    }

    /** Whether all chunks so far have been sent. */
    isFlushed(): boolean {
        return this.nextToSend === this.countChunks();
    }

    /** Restarts sending at a chunk, for a new connection. Returns `false` if the chunk is not buffered. */
    restartAt(sequence: number, credit: number): boolean {
        if (sequence < this.firstBuffered || sequence > this.countChunks()) {
            return false;
        }
        this.nextToSend = sequence;
        this.credit = credit;
        return true;
    }

    /** Drops the chunks that have been sent; they can then no longer be resent. Returns the number of freed bytes. */
    dropSent(): number {
        const before = this.getBytes();
        while (this.firstBuffered < this.nextToSend) {
            this.bytes -= this.chunks.shift()?.length ?? 0;
            this.firstBuffered++;
        }
        return before - this.getBytes();
    }

    private completeChunk(): void {
        if (this.gathered.length === 0) {
            return;
        }
        const chunk = this.gathered.join();
        this.chunks.push(chunk);
        this.bytes += chunk.length;
        this.gathered = new ByteCollector({ maxBytes: Number.POSITIVE_INFINITY });
    }
}
