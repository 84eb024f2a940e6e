/** One entry's demand for a service's capacity. */
export interface ShareDemand {
    entry: string;
    /** Number of requests in flight and queued. */
    demand: number;
}

/** Part of a service's capacity that one entry may use until its lease ends. */
export interface ShareGrant {
    entry: string;
    limit: number;
}

/**
 * Divides a declared capacity among entries by demand (max-min fairness) and spreads the capacity that is left over
 * evenly, so that entries with little demand can take new requests. The grants never add up to more than the capacity.
 */
export function allotShares(capacity: number, demands: readonly ShareDemand[]): ShareGrant[] {
    if (demands.length === 0) {
        return [];
    }
    const sorted = [...demands].sort((left, right) =>
        left.demand - right.demand || (left.entry < right.entry ? -1 : 1)
    );
    const grants: ShareGrant[] = [];
    let remaining = capacity;
    for (const [at, item] of sorted.entries()) {
        const fairShare = Math.floor(remaining / (sorted.length - at));
        const limit = Math.min(item.demand, fairShare);
        grants.push({ entry: item.entry, limit });
        remaining -= limit;
    }
    for (let at = 0; remaining > 0; at = (at + 1) % grants.length) {
        const extra = Math.ceil(remaining / (grants.length - at));
        grants[at].limit += extra;
        remaining -= extra;
    }
    return grants;
}
