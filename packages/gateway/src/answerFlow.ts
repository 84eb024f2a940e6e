/** Memory of whole answers, from endpoints and for callers, from which reading from endpoints waits, in bytes. */
const FULL_BYTES = 64 * 1024 * 1024;
/** Memory up to which the oldest answer is still read, in bytes: the largest one then fits below the maximum. */
const OLDEST_BYTES = 80 * 1024 * 1024;

/** The part of an answer that comes from an endpoint. */
export interface AnswerReader {
    stopReading(): void;
    startReading(): void;
}

export interface AnswerFlowOptions {
    /** Returns the bytes of answers that are held. */
    countHeldBytes: () => number;
    fullBytes?: number;
    oldestBytes?: number;
}

/**
 * Lets answers wait at their endpoints while callers have not read those before them. The oldest is read on, so that
 * answers that are held in part never wait for each other.
 */
export class AnswerFlow {
    /** Answers that are being read, oldest first, and whether each is paused. */
    private readonly readers = new Map<AnswerReader, boolean>();
    private paused = 0;
    private isUpdating = false;
    private isUpdateScheduled = false;

    constructor(private readonly options: AnswerFlowOptions) {}

    /** Records that bytes of an answer have been read. */
    recordBytes(reader: AnswerReader): void {
        if (!this.readers.has(reader)) {
            this.readers.set(reader, false);
        }
        if (this.paused > 0 || this.isFull()) {
            this.update();
        }
    }

    /** Whether an answer waits, so that its endpoint's silence means nothing. */
    isPaused(reader: AnswerReader): boolean {
        return this.readers.get(reader) === true;
    }

    /** Forgets an answer that has ended, or that nobody waits for any more. */
    remove(reader: AnswerReader): void {
        this.paused -= this.isPaused(reader) ? 1 : 0;
        this.readers.delete(reader);
        this.scheduleUpdate();
    }

    /** Resumes answers as far as memory is left, once the handling of what has released memory is done. */
    scheduleUpdate(): void {
        if (this.paused > 0 && !this.isUpdateScheduled) {
            this.isUpdateScheduled = true;
            queueMicrotask(() => {
                this.isUpdateScheduled = false;
                this.update();
            });
        }
    }

    private update(): void {
        if (this.isUpdating) {
            return;
        }
        this.isUpdating = true;
        try {
            this.apply();
        }
        finally {
            this.isUpdating = false;
        }
    }

    /** The first answer in order is the oldest; it alone is read on above `fullBytes`. */
    private apply(): void {
        const { countHeldBytes, fullBytes = FULL_BYTES, oldestBytes = OLDEST_BYTES } = this.options;
        let limit = oldestBytes;
        for (const [reader, wasPaused] of this.readers) {
            const mustPause = countHeldBytes() >= limit;
            limit = fullBytes;
            if (mustPause === wasPaused) {
                continue;
            }
            this.readers.set(reader, mustPause);
            this.paused += mustPause ? 1 : -1;
            if (mustPause) {
                reader.stopReading();
            }
            else {
                reader.startReading();
            }
        }
    }

    private isFull(): boolean {
        return this.options.countHeldBytes() >= (this.options.fullBytes ?? FULL_BYTES);
    }
}
