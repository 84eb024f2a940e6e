/** Buffers the chunks of one response, so that a new connection can resume it. Sending is limited by credit. */
export class OutputBuffer {
    private readonly chunks: Uint8Array[] = [];
    /** Sequence number of the first buffered chunk. */
    private firstBuffered = 0;
    private bytes = 0;
    private nextToSend = 0;
    private credit: number;

    constructor(credit: number) {
        this.credit = credit;
    }

    /** Number of buffered bytes. */
    getBytes(): number {
        return this.bytes;
    }

    /** Counts all chunks of the response so far, including dropped ones. */
    countChunks(): number {
        return this.firstBuffered + this.chunks.length;
    }

    /** Counts the bytes that have not been sent yet. */
    countUnsentBytes(): number {
        let sum = 0;
        for (let at = this.nextToSend - this.firstBuffered; at < this.chunks.length; at++) {
            sum += this.chunks[at].length;
        }
        return sum;
    }

    push(chunk: Uint8Array): void {
        this.chunks.push(chunk);
        this.bytes += chunk.length;
    }

    addCredit(bytes: number): void {
        this.credit += bytes;
    }

    /** Takes the next chunk if there is one and credit is above zero. The credit may drop below zero by one chunk. */
    takeNext(): { sequence: number; data: Uint8Array } | undefined {
        const data = this.chunks[this.nextToSend - this.firstBuffered];
        if (data === undefined || this.credit <= 0) {
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

    /** Drops the chunks that have been sent; they can then no longer be resent. Returns the number of dropped bytes. */
    dropSent(): number {
        let dropped = 0;
        while (this.firstBuffered < this.nextToSend) {
            dropped += this.chunks.shift()?.length ?? 0;
            this.firstBuffered++;
        }
        this.bytes -= dropped;
        return dropped;
    }
}
