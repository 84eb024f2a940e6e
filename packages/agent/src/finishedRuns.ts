import type { RunTask } from "./runTask.js";

interface FinishedRun {
    task: RunTask;
    finishedAt: number;
    heldBytes: number;
}

export interface FinishedRunsOptions {
    /** How long a finished answer is held for an entry that lost its connection, in milliseconds. */
    holdMs: number;
    /** Bytes that finished answers may hold together. */
    maxHeldBytes: number;
    /** Called for each run whose answer is held no longer. */
    onDropped: (task: RunTask) => void;
}

/** Runs that ended, oldest first. Holds each answer until its entry has it, for a while, and within a bound. */
export class FinishedRuns {
    /** In the order in which they ended. */
    private readonly runs = new Map<string, FinishedRun>();
    private heldBytes = 0;

    constructor(private readonly options: FinishedRunsOptions) {}

    /** Bytes held by finished answers. */
    getHeldBytes(): number {
        return this.heldBytes;
    }

    /** Takes over a run that ended. */
    add(task: RunTask, now: number): void {
        const heldBytes = task.getHeldBytes();
        this.runs.set(task.message.requestId, { task, finishedAt: now, heldBytes });
        this.heldBytes += heldBytes;
        if (this.heldBytes > this.options.maxHeldBytes) {
            this.dropOldest();
        }
    }

    /** The entry has the answer. */
    remove(requestId: string): void {
        const run = this.runs.get(requestId);
        if (run !== undefined) {
            this.drop(run);
        }
    }

    /** Drops what was held long enough. */
    expire(now: number): void {
        for (const run of this.runs.values()) {
            if (now - run.finishedAt < this.options.holdMs) {
                return;
            }
            this.drop(run);
        }
    }

    /** Frees down to three quarters of the bound, oldest idempotent answers first. */
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
