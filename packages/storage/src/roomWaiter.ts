/** Codes of errors of a disk or a quota that is full. */
const FULL_CODES = new Set(["ENOSPC", "EDQUOT"]);
/** Interval between attempts while the disk is full, in milliseconds. */
const CHECK_MS = 100;

/** Whether an error says that the disk, or the quota of its user, is full. */
export function isDiskFull(error: unknown): boolean {
    return typeof error === "object" && error !== null && "code" in error && FULL_CODES.has(String(error.code));
}

export interface RoomWaiterOptions {
    /** Called when a write first finds the disk full, and when the last write that waited for room is done. */
    onFull?: (isFull: boolean) => void;
}

/** Repeats writes that find the disk full until there is room, so that a full disk is no worse than a slow one. */
export class RoomWaiter {
    private readonly waiting = new Set<() => void>();
    private blocked = 0;
    private isClosed = false;

    constructor(private readonly options: RoomWaiterOptions) {}

    /** Whether a write waits for room. */
    isFull(): boolean {
        return this.blocked > 0;
    }

    /**
     * Runs a write until there is room for it. `undo` removes what a failed attempt has left, before the next. Rejects with
     * the error of the write if it is another one, or after `close`.
     */
    async run(write: () => Promise<void>, undo: () => Promise<void> = () => Promise.resolve()): Promise<void> {
        let isBlocked = false;
        try {
            for (;;) {
                try {
                    if (isBlocked) {
                        await undo();
                    }
                    await write();
                    return;
                }
                catch (error) {
                    if (this.isClosed || !isDiskFull(error)) {
                        throw error;
                    }
                }
                if (!isBlocked) {
                    isBlocked = true;
                    this.addBlocked(1);
                }
                await this.waitForCheck();
            }
        }
        finally {
            if (isBlocked) {
                this.addBlocked(-1);
            }
        }
    }

    /** Lets the writes that wait for room fail at their next attempt, at once. */
    close(): void {
        this.isClosed = true;
        [...this.waiting].forEach(wake => wake());
    }

    private addBlocked(change: number): void {
        const wasFull = this.isFull();
        this.blocked += change;
        if (this.isFull() !== wasFull) {
            this.options.onFull?.(this.isFull());
        }
    }

    private async waitForCheck(): Promise<void> {
        await new Promise<void>(resolve => {
            const wake = () => {
                clearTimeout(timer);
                this.waiting.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, CHECK_MS);
            this.waiting.add(wake);
        });
    }
}
