import {
    COLD_PERMIT_VALID_MS,
    type ColdWant,
    type LimitFact,
    type PermitGrant,
    type PermitWant,
} from "@kumquathall/types";
import { LimitBoard } from "./limitBoard.js";
import { SendWindow } from "./sendWindow.js";

/** Permits of one endpoint that have not been granted yet. */
interface PermitBucket {
    permits: number;
    /** Local monotonic time to which `permits` is computed, in milliseconds. */
    at: number;
    /** Permits that each gateway lacked at its latest call. */
    unmet: Map<string, { count: number; at: number }>;
    /** Requests that may arrive within one second, while the endpoint is cold. */
    sends: SendWindow;
}

/** At which rate permits of an endpoint are granted. */
interface GrantRate {
    perSecond: number;
    /** Longest time for which permits accumulate, in milliseconds. At least one permit is kept. */
    accumulateMs: number;
    /** Most requests in any second; unlimited if not set. */
    maxInSecond?: number;
}

/** Longest time for which permits accumulate, in milliseconds. At least one permit is kept. */
const ACCUMULATE_MS = 500;
/** Time for which a gateway's unmet demand counts, in milliseconds. */
const UNMET_MS = 1000;
/** Longest time for which permits of cold endpoints accumulate, in milliseconds. */
const COLD_ACCUMULATE_MS = 100;
/** Permits of an endpoint that was cold are dropped after this long without a call, in milliseconds. */
const COLD_IDLE_MS = 10_000;
const MS_PER_SECOND = 1000;

/**
 * Grants permits to send requests to limited endpoints, so that all gateways together send no more than each endpoint
 * allows. One process at a time may grant. A new arbiter begins without permits, as it does not know what has been sent.
 */
export class LimitArbiter {
    readonly board = new LimitBoard();
    private readonly buckets = new Map<string, PermitBucket>();
    /** Permits of endpoints that are cold. */
    private readonly coldBuckets = new Map<string, PermitBucket>();

    /** Records facts; returns those that change a limit. */
    record(facts: LimitFact[], now: number): LimitFact[] {
        return facts.filter(fact => this.board.record(fact, now));
    }

    /**
     * Grants permits. A want carries the limit and the cold rate as the gateway knows them, which this process may not
     * know. `part` is the part of a cold endpoint's rate that may be granted: gateways without contact use the rest.
     */
    grant(gateway: string, wants: PermitWant[], now: number, part = 1): PermitGrant[] {
        return wants.map(want => {
            if (want.cold === undefined || want.perSecond !== undefined) {
                this.board.record(want, now);
            }
            const limit = this.board.get(want.endpoint, now);
            if (want.cold !== undefined) {
                return this.grantCold(gateway, want, want.cold, { limit: limit?.perSecond, part, now });
            }
            if (limit === undefined) {
                this.buckets.delete(want.endpoint);
                return { endpoint: want.endpoint, count: want.count, nextMs: 0, retryAfterMs: 0 };
            }
            const bucket = getOrCreateBucket(this.buckets, want.endpoint, now);
            return grantFrom(bucket, gateway, want, { perSecond: limit.perSecond, accumulateMs: ACCUMULATE_MS }, now);
        });
    }

    /** Drops all permits, before another process may have granted some. */
    clear(): void {
        this.buckets.clear();
        this.coldBuckets.clear();
    }

    /** Removes what is kept of endpoints that no longer exist or no longer limit their requests. */
    removeStale(hasEndpoint: (endpoint: string) => boolean, now: number): void {
        this.board.removeStale(hasEndpoint, now);
        for (const endpoint of this.buckets.keys()) {
            if (this.board.get(endpoint, now) === undefined) {
                this.buckets.delete(endpoint);
            }
        }
        for (const [endpoint, { at }] of this.coldBuckets) {
            if (now - at > COLD_IDLE_MS) {
                this.coldBuckets.delete(endpoint);
            }
        }
    }

    private grantCold(
        gateway: string,
        want: PermitWant,
        cold: ColdWant,
        { limit = Number.POSITIVE_INFINITY, part, now }: { limit: number | undefined; part: number; now: number },
    ): PermitGrant {
        const bucket = getOrCreateBucket(this.coldBuckets, want.endpoint, now);
        bucket.sends.add(cold.sent, now + MS_PER_SECOND);
        const grant = grantFrom(bucket, gateway, want, {
            perSecond: Math.min(limit, cold.perSecond) * part,
            accumulateMs: COLD_ACCUMULATE_MS,
            // Below one request, there would never be room for a permit.
            maxInSecond: Math.max(1, cold.maxInSecond * part),
        }, now);
        // A permit may be used until the end of its time, and then counts for another second.
        bucket.sends.add(grant.count, now + COLD_PERMIT_VALID_MS + MS_PER_SECOND);
        return { ...grant, validMs: COLD_PERMIT_VALID_MS };
    }
}

function getOrCreateBucket(buckets: Map<string, PermitBucket>, endpoint: string, now: number): PermitBucket {
    const bucket = buckets.get(endpoint) ?? { permits: 0, at: now, unmet: new Map(), sends: new SendWindow() };
    buckets.set(endpoint, bucket);
    return bucket;
}

function grantFrom(
    bucket: PermitBucket,
    gateway: string,
    want: PermitWant,
    { perSecond, accumulateMs, maxInSecond = Number.POSITIVE_INFINITY }: GrantRate,
    now: number,
): PermitGrant {
    const maxPermits = Math.max(1, perSecond * accumulateMs / MS_PER_SECOND);
    bucket.permits = Math.min(maxPermits, bucket.permits + perSecond * (now - bucket.at) / MS_PER_SECOND);
    bucket.at = now;
    const room = Math.max(0, Math.floor(maxInSecond - bucket.sends.count(now)));
    const others = [...bucket.unmet].filter(([id, item]) => id !== gateway && now - item.at < UNMET_MS);
    const fairCount = Math.ceil(Math.floor(Math.min(bucket.permits, room)) / (others.length + 1));
    const count = Math.min(want.count, fairCount);
    bucket.permits -= count;
    const unmetCount = want.count - count;
    bucket.unmet = new Map(others);
    if (unmetCount > 0) {
        bucket.unmet.set(gateway, { count: unmetCount, at: now });
    }
    const ahead = others.reduce((sum, [, item]) => sum + item.count, Math.max(0, unmetCount - 1));
    const roomMs = Number.isFinite(maxInSecond) ? bucket.sends.getWaitMs(maxInSecond - count - 1, now) : 0;
    const nextMs = Math.max(roomMs, Math.max(0, 1 - bucket.permits) * MS_PER_SECOND / perSecond);
    return { endpoint: want.endpoint, count, nextMs, retryAfterMs: nextMs + ahead * MS_PER_SECOND / perSecond };
}
