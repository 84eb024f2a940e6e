/** What chunks arrive on. */
export interface PacedStream {
    /** Stops reading until `startReading`; what was read before may still arrive. */
    stopReading(): void;
    startReading(): void;
}

export interface ChunkPacerOptions {
    /** Small chunks a second that all streams together may bring on: about a tenth of a core. */
    chunksPerSecond?: number;
    /** Small chunks that may come at once; one read of a socket holds up to 11,000. */
    burst?: number;
}

const DEFAULT_CHUNKS_PER_SECOND = 30_000;
const DEFAULT_BURST = 15_000;
/** Small chunks of one stream that are not counted: most sound streams have fewer. */
const FREE_CHUNKS = 1000;
/** A chunk of as many bytes is not small. The smaller a chunk, the more of it counts. */
const FULL_CHUNK_BYTES = 64;
const MS_PER_SECOND = 1000;

/**
 * Shares processor time between streams in small chunks and everything else. A chunk costs about the same whatever its
 * size, so a peer that sends single bytes occupies the process at a few MB/s. Once all streams have had more small chunks
 * than may come, those that send them are read in turns.
 */
export class ChunkPacer {
    /** Small chunks that may come now; negative after a burst. */
    private allowed: number;
    private refilledAt = performance.now();
    /** Streams that are not read now, in the order of their turns. */
    private readonly stopped = new Set<PacedChunks>();
    private timer: NodeJS.Timeout | undefined;
    private readonly chunksPerSecond: number;
    private readonly burst: number;

    constructor({ chunksPerSecond = DEFAULT_CHUNKS_PER_SECOND, burst = DEFAULT_BURST }: ChunkPacerOptions = {}) {
        this.chunksPerSecond = chunksPerSecond;
        this.burst = burst;
        this.allowed = burst;
    }

    /** Begins to count the chunks of a stream. */
    open(stream: PacedStream): PacedChunks {
        return new PacedChunks(this, stream);
    }

    /** Takes a part of a chunk out of what may come, and stops the stream if nothing is left. */
    take(chunks: PacedChunks, part: number): void {
        this.refreshAllowed();
        this.allowed -= part;
        if (this.allowed < 0 && !this.stopped.has(chunks)) {
            this.stopped.add(chunks);
            chunks.stream.stopReading();
            this.schedule();
        }
    }

    /** Forgets a stream that has ended. */
    remove(chunks: PacedChunks): void {
        if (this.stopped.delete(chunks)) {
            chunks.stream.startReading();
        }
        if (this.stopped.size === 0) {
            clearTimeout(this.timer);
            this.timer = undefined;
        }
    }

    private refreshAllowed(): void {
        const now = performance.now();
        const refilled = (now - this.refilledAt) * this.chunksPerSecond / MS_PER_SECOND;
        this.allowed = Math.min(this.burst, this.allowed + refilled);
        this.refilledAt = now;
    }

    private schedule(): void {
        if (this.timer === undefined && this.stopped.size > 0) {
            const waitMs = Math.max(1, -this.allowed * MS_PER_SECOND / this.chunksPerSecond);
            this.timer = setTimeout(() => this.startNext(), waitMs);
        }
    }

    /** Reads the next stream again; the one after it waits for what that brings. */
    private startNext(): void {
        this.timer = undefined;
        this.refreshAllowed();
        const [next] = this.stopped;
        if (next !== undefined && this.allowed >= 0) {
            this.stopped.delete(next);
            next.stream.startReading();
        }
        this.schedule();
    }
}

/** Counts the chunks of one stream. */
export class PacedChunks {
    private free = FREE_CHUNKS;

    constructor(private readonly pacer: ChunkPacer, readonly stream: PacedStream) {}

    /** Records a chunk of `bytes` bytes. */
    record(bytes: number): void {
        if (bytes >= FULL_CHUNK_BYTES) {
            return;
        }
        const part = 1 - bytes / FULL_CHUNK_BYTES;
        if (this.free > 0) {
            this.free -= part;
            return;
        }
        this.pacer.take(this, part);
    }

    /** The stream has ended. */
    close(): void {
        this.pacer.remove(this);
    }
}
