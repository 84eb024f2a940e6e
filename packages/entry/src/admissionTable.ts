import { type AdmissionDecision, AdmissionQueue, type AdmissionTicket, TokenBucket } from "@kumquathall/admission";
import type { CapacityDemand, CapacityShare, ServiceDefinition } from "@kumquathall/types";

interface ServiceAdmission {
    queue: AdmissionQueue;
    rate: TokenBucket;
    service: ServiceDefinition;
    share: number;
    shareUntil: number;
}

/** How long an entry may use its share of capacity without hearing from the leader; below the leader's patience. */
const SHARE_LEASE_MS = 2000;
/** What an entry may use of a service before its first share, and when control is away: one request in so many of the capacity. */
const FLOOR_DIVISOR = 16;
/** Seconds of the declared rate that may come at once. */
const BURST_SECONDS = 1;

/** Admission of all services at one entry, under the shares that the leader gave it. */
export class AdmissionTable {
    private readonly services = new Map<string, ServiceAdmission>();

    /** Asks for one request to run. Calls `settle` once. Returns a function that withdraws a waiting request. */
    enter(
        service: ServiceDefinition,
        ticket: AdmissionTicket,
        now: number,
        settle: (decision: AdmissionDecision) => void,
    ): () => void {
        const admission = this.getAdmission(service, now);
        this.expireShare(admission, now);
        const waitMs = admission.rate.take(now);
        if (waitMs > 0) {
            settle({ kind: "refused", reason: "queue-full", retryAfterMs: waitMs });
            return () => undefined;
        }
        return admission.queue.enter(ticket, now, settle);
    }

    leave(service: ServiceDefinition, ranMs: number, now: number): void {
        this.getAdmission(service, now).queue.leave(ranMs, now);
    }

    /** What this entry wants of each service that it has seen requests for. */
    listDemands(): CapacityDemand[] {
        return [...this.services].map(([name, admission]) => ({
            service: name,
            demand: admission.queue.getDemand(),
            capacity: admission.service.capacity.concurrentRequests,
        }));
    }

    applyShares(shares: CapacityShare[], now: number): void {
        for (const share of shares) {
            const admission = this.services.get(share.service);
            if (admission !== undefined) {
                admission.share = share.limit;
                admission.shareUntil = now + SHARE_LEASE_MS;
                this.applyLimit(admission, now);
            }
        }
    }

    /** Requests waiting over all services. */
    countQueued(): number {
        return [...this.services.values()].reduce((sum, admission) => sum + admission.queue.getQueued(), 0);
    }

    close(): void {
        this.services.forEach(admission => admission.queue.close());
    }

    private getAdmission(service: ServiceDefinition, now: number): ServiceAdmission {
        const name = `${service.institution}/${service.service}`;
        const known = this.services.get(name);
        if (known !== undefined) {
            if (known.service !== service) {
                known.service = service;
                this.applyLimit(known, now);
            }
            return known;
        }
        const floor = computeFloor(service);
        const admission: ServiceAdmission = {
            queue: new AdmissionQueue({ limit: floor }),
            rate: new TokenBucket({
                rate: service.capacity.requestsPerSecond,
                burst: service.capacity.requestsPerSecond * BURST_SECONDS,
            }, now),
            service,
            share: floor,
            shareUntil: Number.POSITIVE_INFINITY,
        };
        this.services.set(name, admission);
        return admission;
    }

    private expireShare(admission: ServiceAdmission, now: number): void {
        if (now > admission.shareUntil) {
            admission.share = computeFloor(admission.service);
            admission.shareUntil = Number.POSITIVE_INFINITY;
            this.applyLimit(admission, now);
        }
    }

    private applyLimit(admission: ServiceAdmission, now: number): void {
        const { capacity } = admission.service;
        const part = admission.share / capacity.concurrentRequests;
        const rate = Math.max(1, capacity.requestsPerSecond * part);
        admission.rate.setOptions({ rate, burst: rate * BURST_SECONDS }, now);
        admission.queue.setLimit(admission.share, now);
    }
}

function computeFloor(service: ServiceDefinition): number {
    return Math.max(1, Math.floor(service.capacity.concurrentRequests / FLOOR_DIVISOR));
}
