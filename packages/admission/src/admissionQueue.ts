import { FairQueue } from "./fairQueue.js";

export interface AdmissionQueueOptions {
    /** Requests that may run at once. */
    limit: number;
    maxQueued?: number;
    maxQueuedBytes?: number;
}

/** A request that wants to run. */
export interface AdmissionTicket {
    account: string;
    weight: number;
    priority: number;
    bytes: number;
    /** Monotonic time at which waiting longer is useless. */
    deadline: number;
}

export type AdmissionDecision =
    | { kind: "admitted" }
    | { kind: "refused"; reason: "queue-full" | "bytes-full" | "deadline" | "closed"; retryAfterMs: number };

/** One waiting request. */
export interface AdmissionWaiter {
    ticket: AdmissionTicket;
    settle: (decision: AdmissionDecision) => void;
}

const DEFAULT_MAX_QUEUED = 256;
const DEFAULT_MAX_QUEUED_BYTES = 16 * 1024 * 1024;
const SERVICE_TIME_WEIGHT = 0.1;
const MIN_RETRY_AFTER_MS = 100;

/** Admits requests of one service up to a limit; the rest wait in a bounded fair queue or are refused at once. */
export class AdmissionQueue {
    private running = 0;
    private queuedBytes = 0;
    private limit: number;
    private readonly queue = new FairQueue<AdmissionWaiter>();
    /** Moving average of how long an admitted request runs, in milliseconds. */
    private serviceTimeMs: number | undefined;

    constructor(private readonly options: AdmissionQueueOptions) {
        this.limit = options.limit;
    }

    /** Requests running and waiting: what this entry wants of the service's capacity. */
    getDemand(): number {
        return this.running + this.queue.getSize();
    }

    getRunning(): number {
        return this.running;
    }

    getQueued(): number {
        return this.queue.getSize();
    }

    /** Changes the limit; a larger one admits waiting requests at once. */
    setLimit(limit: number, now: number): void {
        this.limit = limit;
        this.admitWaiting(now);
    }

    /** Asks to run. `settle` is called once, at once or later. Returns a function that withdraws a waiting request. */
    enter(ticket: AdmissionTicket, now: number, settle: (decision: AdmissionDecision) => void): () => void {
        if (this.running < this.limit && this.queue.getSize() === 0) {
            this.running++;
            settle({ kind: "admitted" });
            return () => undefined;
        }
        const refusal = this.findRefusal(ticket, now);
        if (refusal !== undefined) {
            settle(refusal);
            return () => undefined;
        }
        const waiter: AdmissionWaiter = { ticket, settle };
        this.queuedBytes += ticket.bytes;
        this.queue.push({
            value: waiter,
            account: ticket.account,
            weight: ticket.weight,
            priority: ticket.priority,
            cost: 1,
        });
        return () => {
            if (this.queue.remove(waiter)) {
                this.queuedBytes -= ticket.bytes;
            }
        };
    }

    /** Tells that an admitted request ended after running for `ranMs`. */
    leave(ranMs: number, now: number): void {
        this.running--;
        const average = this.serviceTimeMs ?? ranMs;
        this.serviceTimeMs = average + SERVICE_TIME_WEIGHT * (ranMs - average);
        this.admitWaiting(now);
    }

    /** Refuses everything that waits. */
    close(): void {
        for (let waiter = this.queue.take(); waiter !== undefined; waiter = this.queue.take()) {
            waiter.settle({ kind: "refused", reason: "closed", retryAfterMs: MIN_RETRY_AFTER_MS });
        }
        this.queuedBytes = 0;
    }

    /** Expected wait of a request that joins the queue now, in milliseconds. */
    estimateWaitMs(): number {
        const slots = Math.max(1, this.limit);
        return (this.queue.getSize() + 1) * (this.serviceTimeMs ?? 0) / slots;
    }

    private findRefusal(ticket: AdmissionTicket, now: number): AdmissionDecision | undefined {
        const waitMs = this.estimateWaitMs();
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs));
        if (this.queue.getSize() >= (this.options.maxQueued ?? DEFAULT_MAX_QUEUED)) {
            return { kind: "refused", reason: "queue-full", retryAfterMs };
        }
        if (this.queuedBytes + ticket.bytes > (this.options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES)) {
            return { kind: "refused", reason: "bytes-full", retryAfterMs };
        }
        if (now + waitMs > ticket.deadline) {
            return { kind: "refused", reason: "deadline", retryAfterMs };
        }
        return undefined;
    }

    private admitWaiting(now: number): void {
        while (this.running < this.limit) {
            const waiter = this.queue.take();
            if (waiter === undefined) {
                return;
            }
            this.queuedBytes -= waiter.ticket.bytes;
            if (now > waiter.ticket.deadline) {
                waiter.settle({ kind: "refused", reason: "deadline", retryAfterMs: MIN_RETRY_AFTER_MS });
                continue;
            }
            this.running++;
            waiter.settle({ kind: "admitted" });
        }
    }
}
