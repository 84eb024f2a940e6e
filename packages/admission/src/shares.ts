/** What one entry wants of a service's capacity. */
export interface ShareDemand {
    entry: string;
    /** Requests in flight and waiting. */
    demand: number;
}

/** What one entry may use until its lease ends. */
export interface ShareGrant {
    entry: string;
    limit: number;
}

/**
 * Divides a declared capacity among entries by demand (max-min fairness). Every entry keeps a floor for its first requests;
 * what is left over is lent evenly. The grants never add up to more than the capacity.
 */
export function allotShares(capacity: number, demands: readonly ShareDemand[]): ShareGrant[] {
    if (demands.length === 0) {
        return [];
    }
    const sorted = [...demands].sort((left, right) =>
        left.demand - right.demand || (left.entry < right.entry ? -1 : 1)
    );
    const grants: ShareGrant[] = [];
    let left = capacity;
    for (const [at, item] of sorted.entries()) {
        const fair = Math.floor(left / (sorted.length - at));
        const limit = Math.min(item.demand, fair);
        grants.push({ entry: item.entry, limit });
        left -= limit;
    }
    for (let at = 0; left > 0; at = (at + 1) % grants.length) {
        const part = Math.ceil(left / (grants.length - at));
        grants[at].limit += part;
        left -= part;
    }
    return grants;
}
