import type { RunTask } from "./runTask.js";

interface FinishedRun {
    task: RunTask;
    finishedAt: number;
    heldBytes: number;
}

export interface FinishedRunsOptions {
    /** How long a finished response is kept for an entry that lost its connection, in milliseconds. */
    holdMs: number;
    /** Total size above which the oldest responses of idempotent requests are dropped. */
    maxHeldBytes: number;
    /** Called for each run whose response was dropped. */
    onDropped: (task: RunTask) => void;
}

/** Keeps the responses of finished runs until they are acknowledged or expire, within a size limit. */
export class FinishedRuns {
    /** Ordered by the time at which the runs ended. */
    private readonly runs = new Map<string, FinishedRun>();
    private heldBytes = 0;

    constructor(private readonly options: FinishedRunsOptions) {}

    /** Total size of the finished responses, in bytes. */
    getHeldBytes(): number {
        return this.heldBytes;
    }

    /** Adds a run that has ended. */
    add(task: RunTask, now: number): void {
        const heldBytes = task.getHeldBytes();
        this.runs.set(task.message.requestId, { task, finishedAt: now, heldBytes });
        this.heldBytes += heldBytes;
        if (this.heldBytes > this.options.maxHeldBytes) {
            this.dropOldest();
        }
    }

    /** Drops a response that the entry has acknowledged. */
    remove(requestId: string): void {
        const run = this.runs.get(requestId);
        if (run !== undefined) {
            this.drop(run);
        }
    }

    /** Drops the responses whose hold time has passed. */
    expire(now: number): void {
        for (const run of this.runs.values()) {
            if (now - run.finishedAt < this.options.holdMs) {
                return;
            }
            this.drop(run);
        }
    }

    /** Drops the oldest responses of idempotent requests until the total is at most 3/4 of the limit. */
    private dropOldest(): void {
        const target = this.options.maxHeldBytes * 3 / 4;
        for (const run of this.runs.values()) {
            if (this.heldBytes <= target) {
                return;
            }
            if (run.task.message.ledgerKey === undefined) {
                this.drop(run);
            }
        }
    }

    private drop(run: FinishedRun): void {
        this.runs.delete(run.task.message.requestId);
        this.heldBytes -= run.heldBytes;
        this.options.onDropped(run.task);
    }
}
