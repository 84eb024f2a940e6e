import { type AdmissionDecision, AdmissionQueue, type AdmissionTicket, TokenBucket } from "@kumquathall/admission";
import type { CapacityDemand, CapacityShare, ServiceDefinition } from "@kumquathall/types";

interface ServiceAdmission {
    queue: AdmissionQueue;
    rate: TokenBucket;
    service: ServiceDefinition;
    /** Requests of the service that this entry may run at once. */
    share: number;
    /** Monotonic time at which the share expires. */
    shareExpiresAt: number;
}

/**
 * How long an entry may use its capacity share without a renewal by the leader. Shorter than the time after which the
 * leader reassigns the share of an entry that stopped reporting, so that no two entries use the same share.
 */
const SHARE_LEASE_MS = 2000;
/** Before its first share and after a share has expired, an entry may use 1/n of a service's capacity. */
const FALLBACK_SHARE_DIVISOR = 16;
/** Size of the token bucket, in seconds of the declared request rate. */
const BURST_SECONDS = 1;

/** Admission control for all services of one entry, within the capacity shares granted by the leader. */
export class AdmissionTable {
    private readonly services = new Map<string, ServiceAdmission>();

    /** Requests admission. Calls `settle` once with the decision. The returned function withdraws a queued request. */
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

    /** Lists the demand for each service that has received requests on this entry. */
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
                admission.shareExpiresAt = now + SHARE_LEASE_MS;
                this.applyLimit(admission, now);
            }
        }
    }

    /** Counts the queued requests of all services. */
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
        const fallbackShare = computeFallbackShare(service);
        const admission: ServiceAdmission = {
            queue: new AdmissionQueue({ limit: fallbackShare }),
            rate: new TokenBucket({
                rate: service.capacity.requestsPerSecond,
                burst: service.capacity.requestsPerSecond * BURST_SECONDS,
            }, now),
            service,
            share: fallbackShare,
            shareExpiresAt: Number.POSITIVE_INFINITY,
        };
        this.services.set(name, admission);
        return admission;
    }

    private expireShare(admission: ServiceAdmission, now: number): void {
        if (now > admission.shareExpiresAt) {
            admission.share = computeFallbackShare(admission.service);
            admission.shareExpiresAt = Number.POSITIVE_INFINITY;
            this.applyLimit(admission, now);
        }
    }

    private applyLimit(admission: ServiceAdmission, now: number): void {
        const { capacity } = admission.service;
        const shareRatio = admission.share / capacity.concurrentRequests;
        const rate = Math.max(1, capacity.requestsPerSecond * shareRatio);
        admission.rate.setOptions({ rate, burst: rate * BURST_SECONDS }, now);
        admission.queue.setLimit(admission.share, now);
    }
}

function computeFallbackShare(service: ServiceDefinition): number {
    return Math.max(1, Math.floor(service.capacity.concurrentRequests / FALLBACK_SHARE_DIVISOR));
}
