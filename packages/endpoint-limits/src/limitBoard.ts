import type { LimitFact } from "@kumquathall/types";

/** A limit that is in force, or ended a short time ago. */
export interface EndpointLimit {
    endpoint: string;
    /** Requests a second that the endpoint has named last. */
    namedPerSecond: number;
    /** Requests a second that may be sent to it now. */
    perSecond: number;
}

interface StoredLimit {
    perSecond: number;
    /** Local monotonic time of the newest response known to name the limit, in milliseconds. */
    namedAt: number;
    /** Local monotonic time at which the endpoint no longer limited its requests, in milliseconds. */
    endedAt: number | undefined;
}

/**
 * Requests a second that are sent to an endpoint that names less, 0 for example: only the response to a request shows
 * that a limit has ended.
 */
const MIN_PER_SECOND = 0.5;
/** Limits above this are recorded as this many requests a second, which is more than any endpoint serves. */
const MAX_PER_SECOND = 100_000;
/** After its end, a limit is doubled at this interval, in milliseconds, so that no burst follows. */
const DOUBLING_MS = 500;
/** Time from the end of a limit until requests are unlimited, in milliseconds. */
const RELEASE_MS = 4000;
/** Time for which the end of a limit is remembered, so that delayed facts about it are ignored, in milliseconds. */
const REMEMBER_ENDED_MS = 60_000;
/** Limits that are stored; the oldest are dropped. */
const MAX_LIMITS = 20_000;

/** Merges facts about the limits of endpoints. All times are monotonic milliseconds of the local process. */
export class LimitBoard {
    private readonly limits = new Map<string, StoredLimit>();

    /** Records a fact; returns whether it changes a limit, so that it must be passed on. */
    record(fact: LimitFact, now: number): boolean {
        const at = now - fact.ageMs;
        const known = this.limits.get(fact.endpoint);
        if (fact.perSecond === undefined) {
            if (known === undefined || known.endedAt !== undefined || at <= known.namedAt) {
                return false;
            }
            known.endedAt = at;
            return true;
        }
        if (known !== undefined && at <= (known.endedAt ?? known.namedAt)) {
            return false;
        }
        const perSecond = Math.min(MAX_PER_SECOND, fact.perSecond);
        const isChange = known?.perSecond !== perSecond || known.endedAt !== undefined;
        this.store(fact.endpoint, { perSecond, namedAt: at, endedAt: undefined });
        return isChange;
    }

    /** Returns the limit of an endpoint; `undefined` if its requests are unlimited. */
    get(endpoint: string, now: number): EndpointLimit | undefined {
        const stored = this.limits.get(endpoint);
        if (stored === undefined || (stored.endedAt !== undefined && now - stored.endedAt >= RELEASE_MS)) {
            return undefined;
        }
        const base = Math.max(MIN_PER_SECOND, stored.perSecond);
        const factor = stored.endedAt === undefined ? 1 : 2 ** (Math.max(0, now - stored.endedAt) / DOUBLING_MS);
        return { endpoint, namedPerSecond: stored.perSecond, perSecond: base * factor };
    }

    /** Whether the endpoint named a limit in the newest response that is known. */
    isNamed(endpoint: string): boolean {
        const stored = this.limits.get(endpoint);
        return stored !== undefined && stored.endedAt === undefined;
    }

    /** Finds the newest fact about the limit of an endpoint, as a process would report it now. */
    findFact(endpoint: string, now: number): LimitFact | undefined {
        const stored = this.limits.get(endpoint);
        if (stored === undefined) {
            return undefined;
        }
        const { perSecond, namedAt, endedAt } = stored;
        return endedAt === undefined
            ? { endpoint, perSecond, ageMs: now - namedAt }
            : { endpoint, perSecond: undefined, ageMs: now - endedAt };
    }

    /** Lists the limits in force, for a process that knows none of them. */
    listFacts(now: number): LimitFact[] {
        return [...this.limits].flatMap(([endpoint, { perSecond, namedAt, endedAt }]) =>
            endedAt === undefined ? [{ endpoint, perSecond, ageMs: now - namedAt }] : []
        );
    }

    /** Number of endpoints whose requests are limited. */
    count(now: number): number {
        return [...this.limits.keys()].filter(endpoint => this.get(endpoint, now) !== undefined).length;
    }

    /** Removes limits of endpoints that no longer exist and ends that are no longer remembered. */
    removeStale(hasEndpoint: (endpoint: string) => boolean, now: number): void {
        for (const [endpoint, { endedAt }] of this.limits) {
            const isForgotten = endedAt !== undefined && now - endedAt > REMEMBER_ENDED_MS;
            if (isForgotten || !hasEndpoint(endpoint)) {
                this.limits.delete(endpoint);
            }
        }
    }

    private store(endpoint: string, limit: StoredLimit): void {
        // The oldest come first.
        this.limits.delete(endpoint);
        this.limits.set(endpoint, limit);
        const oldest = this.limits.keys().next().value;
        if (this.limits.size > MAX_LIMITS && oldest !== undefined) {
            this.limits.delete(oldest);
        }
    }
}
