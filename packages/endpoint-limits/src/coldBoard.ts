import type { ColdFact } from "@kumquathall/types";

interface StoredCold {
    /** Local monotonic time at which the newest response that changed something arrived, in milliseconds. */
    at: number;
    coldMs: number;
}

/** A response that moves the end of the cold time by less than this repeats what is known, in milliseconds. */
const SAME_END_MS = 250;
/** Endpoints that are stored; the oldest are dropped. */
const MAX_ENDPOINTS = 20_000;

/**
 * Merges what responses say of the cold times of endpoints: the latest end holds, since a cold time only runs down and
 * responses may arrive in any order. Times are monotonic milliseconds of the local process.
 */
export class ColdBoard {
    private readonly colds = new Map<string, StoredCold>();

    /** Records a fact; returns whether it changes the end of a cold time, so that it must be passed on. */
    record(fact: ColdFact, now: number): boolean {
        const at = now - fact.ageMs;
        const end = at + fact.coldMs;
        const known = this.colds.get(fact.endpoint);
        const isKnown = known !== undefined && end <= known.at + known.coldMs + SAME_END_MS;
        if (fact.coldMs === 0 || end <= now || isKnown) {
            return false;
        }
        this.colds.delete(fact.endpoint);
        this.colds.set(fact.endpoint, { at, coldMs: fact.coldMs });
        const oldest = this.colds.keys().next().value;
        if (this.colds.size > MAX_ENDPOINTS && oldest !== undefined) {
            this.colds.delete(oldest);
        }
        return true;
    }

    /** Finds the end of the cold time of an endpoint; one that is longer than `maxMs` counts as that long. */
    findEnd(endpoint: string, maxMs: number): number | undefined {
        const known = this.colds.get(endpoint);
        return known === undefined ? undefined : known.at + Math.min(maxMs, known.coldMs);
    }

    /** Finds the newest fact about an endpoint, as a process would report it now. */
    findFact(endpoint: string, now: number): ColdFact | undefined {
        const known = this.colds.get(endpoint);
        return known === undefined ? undefined : { endpoint, coldMs: known.coldMs, ageMs: now - known.at };
    }

    /** Lists what is known of endpoints that are cold, for a process that may know nothing. */
    listFacts(now: number): ColdFact[] {
        this.removeEnded(now);
        return [...this.colds.keys()].flatMap(endpoint => this.findFact(endpoint, now) ?? []);
    }

    /** Removes cold times that have ended. */
    removeEnded(now: number): void {
        for (const [endpoint, { at, coldMs }] of this.colds) {
            if (at + coldMs <= now) {
                this.colds.delete(endpoint);
            }
        }
    }
}
