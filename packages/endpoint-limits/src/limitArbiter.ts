import type { LimitFact, PermitGrant, PermitWant } from "@kumquathall/types";
import { LimitBoard } from "./limitBoard.js";

/** Permits of one endpoint that have not been granted yet. */
interface PermitBucket {
    permits: number;
    /** Local monotonic time to which `permits` is computed, in milliseconds. */
    at: number;
    /** Permits that each gateway lacked at its latest call. */
    unmet: Map<string, { count: number; at: number }>;
}

/** Longest time for which permits accumulate, in milliseconds. At least one permit is kept. */
const ACCUMULATE_MS = 500;
/** Time for which a gateway's unmet demand counts, in milliseconds. */
const UNMET_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Grants permits to send requests to limited endpoints, so that all gateways together send no more than each endpoint
 * allows. One process at a time may grant. A new arbiter begins without permits, as it does not know what has been sent.
 */
export class LimitArbiter {
    readonly board = new LimitBoard();
    private readonly buckets = new Map<string, PermitBucket>();

    /** Records facts; returns those that change a limit. */
    record(facts: LimitFact[], now: number): LimitFact[] {
        return facts.filter(fact => this.board.record(fact, now));
    }

    /** Grants permits. A want carries the limit as the gateway knows it, which this process may not know. */
    grant(gateway: string, wants: PermitWant[], now: number): PermitGrant[] {
        return wants.map(want => {
            this.board.record(want, now);
            const limit = this.board.get(want.endpoint, now);
            if (limit === undefined) {
                this.buckets.delete(want.endpoint);
                return { endpoint: want.endpoint, count: want.count, nextMs: 0, retryAfterMs: 0 };
            }
            return this.grantLimited(gateway, want, limit.perSecond, now);
        });
    }

    /** Drops all permits, before another process may have granted some. */
    clear(): void {
        this.buckets.clear();
    }

    /** Removes what is kept of endpoints that no longer exist or no longer limit their requests. */
    removeStale(hasEndpoint: (endpoint: string) => boolean, now: number): void {
        this.board.removeStale(hasEndpoint, now);
        for (const endpoint of this.buckets.keys()) {
            if (this.board.get(endpoint, now) === undefined) {
                this.buckets.delete(endpoint);
            }
        }
    }

    private grantLimited(gateway: string, want: PermitWant, perSecond: number, now: number): PermitGrant {
        const bucket: PermitBucket = this.buckets.get(want.endpoint) ?? { permits: 0, at: now, unmet: new Map() };
        this.buckets.set(want.endpoint, bucket);
        const maxPermits = Math.max(1, perSecond * ACCUMULATE_MS / MS_PER_SECOND);
        bucket.permits = Math.min(maxPermits, bucket.permits + perSecond * (now - bucket.at) / MS_PER_SECOND);
        bucket.at = now;
        const others = [...bucket.unmet].filter(([id, item]) => id !== gateway && now - item.at < UNMET_MS);
        const fairCount = Math.ceil(Math.floor(bucket.permits) / (others.length + 1));
        const count = Math.min(want.count, fairCount);
        bucket.permits -= count;
        const unmetCount = want.count - count;
        bucket.unmet = new Map(others);
        if (unmetCount > 0) {
            bucket.unmet.set(gateway, { count: unmetCount, at: now });
        }
        const ahead = others.reduce((sum, [, item]) => sum + item.count, Math.max(0, unmetCount - 1));
        const nextMs = Math.max(0, 1 - bucket.permits) * MS_PER_SECOND / perSecond;
        return { endpoint: want.endpoint, count, nextMs, retryAfterMs: nextMs + ahead * MS_PER_SECOND / perSecond };
    }
}
