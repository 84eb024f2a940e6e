import { FairQueue } from "./fairQueue.js";

export interface AdmissionQueueOptions {
    /** Number of requests that may run at once. */
    limit: number;
    maxQueued?: number;
    maxQueuedBytes?: number;
}

/** A request that asks for admission. */
export interface AdmissionTicket {
    account: string;
    weight: number;
    priority: number;
    bytes: number;
    /** Monotonic time, in milliseconds, after which the request is refused instead of admitted. */
    deadline: number;
}

export type AdmissionDecision =
    | { kind: "admitted" }
    | { kind: "refused"; reason: "queue-full" | "bytes-full" | "deadline" | "closed"; retryAfterMs: number };

/** A queued request and the callback for its decision. */
export interface AdmissionWaiter {
    ticket: AdmissionTicket;
    settle: (decision: AdmissionDecision) => void;
}

const DEFAULT_MAX_QUEUED = 256;
const DEFAULT_MAX_QUEUED_BYTES = 16 * 1024 * 1024;
/** Weight of the newest sample in the moving average of service times. */
const SERVICE_TIME_WEIGHT = 0.1;
const MIN_RETRY_AFTER_MS = 100;

/** Admits requests of one service up to a limit. Others wait in a bounded fair queue or are refused at once. */
export class AdmissionQueue {
    private running = 0;
    private queuedBytes = 0;
    private limit: number;
    private readonly queue = new FairQueue<AdmissionWaiter>();
    /** Moving average of the time for which admitted requests run, in milliseconds. */
    private serviceTimeMs: number | undefined;

    constructor(private readonly options: AdmissionQueueOptions) {
        this.limit = options.limit;
    }

    /** Number of running and queued requests, which is this entry's demand for the service's capacity. */
    getDemand(): number {
        return this.running + this.queue.getSize();
    }

    getRunning(): number {
        return this.running;
    }

    getQueued(): number {
        return this.queue.getSize();
    }

    /** Changes the limit. A higher limit admits queued requests at once. */
    setLimit(limit: number, now: number): void {
        this.limit = limit;
        this.admitQueued(now);
    }

    /**
     * Requests admission. Calls `settle` once, immediately or later, unless the returned function cancels the queued
     * request before.
     */
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

    /** Records the end of an admitted request that ran for `ranMs` and admits queued requests. */
    leave(ranMs: number, now: number): void {
        this.running--;
        const average = this.serviceTimeMs ?? ranMs;
        this.serviceTimeMs = average + SERVICE_TIME_WEIGHT * (ranMs - average);
        this.admitQueued(now);
    }

    /** Refuses all queued requests. */
    close(): void {
        for (let waiter = this.queue.take(); waiter !== undefined; waiter = this.queue.take()) {
            waiter.settle({ kind: "refused", reason: "closed", retryAfterMs: MIN_RETRY_AFTER_MS });
        }
        this.queuedBytes = 0;
    }

    /** Estimates how long a request that is queued now will wait, in milliseconds. */
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

    private admitQueued(now: number): void {
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
