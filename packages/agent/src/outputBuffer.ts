/** The chunks of one answer, kept so that a new connection can go on from any of them. */
export class OutputBuffer {
    private readonly chunks: Uint8Array[] = [];
    /** Number of the first chunk that is still held. */
    private firstHeld = 0;
    private bytes = 0;
    private nextToSend = 0;
    private credit: number;

    constructor(credit: number) {
        this.credit = credit;
    }

    /** Bytes held. */
    getBytes(): number {
        return this.bytes;
    }

    /** Chunks of the whole answer so far. */
    countChunks(): number {
        return this.firstHeld + this.chunks.length;
    }

    /** Bytes that were not sent yet. */
    countUnsentBytes(): number {
        let sum = 0;
        for (let at = this.nextToSend - this.firstHeld; at < this.chunks.length; at++) {
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

    /** Takes the next chunk if there is one and credit for it. Credit may go below zero by one chunk. */
    takeNext(): { sequence: number; data: Uint8Array } | undefined {
        const data = this.chunks[this.nextToSend - this.firstHeld];
        if (data === undefined || this.credit <= 0) {
            return undefined;
        }
        this.credit -= data.length;
        return { sequence: this.nextToSend++, data };
    }

    /** Whether every chunk so far was sent. */
    isFlushed(): boolean {
        return this.nextToSend === this.countChunks();
    }

    /** Goes back to a chunk for a new connection; `false` when it is no longer held. */
    restartAt(sequence: number, credit: number): boolean {
        if (sequence < this.firstHeld || sequence > this.countChunks()) {
            return false;
        }
        this.nextToSend = sequence;
        this.credit = credit;
        return true;
    }

    /** Drops all chunks that were sent; a new connection can then only go on from here. Returns the bytes dropped. */
    dropSent(): number {
        let dropped = 0;
        while (this.firstHeld < this.nextToSend) {
            dropped += this.chunks.shift()?.length ?? 0;
            this.firstHeld++;
        }
        this.bytes -= dropped;
        return dropped;
    }
}
