/** Offered work of one client account. */
export interface AccountWork {
    work: number;
    /** Standard deviation of `work`. */
    deviation: number;
}

export interface RankWork {
    /** 0 is the most urgent. */
    rank: number;
    accounts: Map<string, AccountWork>;
}

/** Admitted fractions of the work of one rank. */
export interface RankFractions {
    rank: number;
    fraction: number;
    byAccount: Map<string, number>;
}

/**
 * Lowest admitted fraction of a rank or an account, as a part of the overall fraction. Callers need a quarter; the rest
 * allows for the random draw.
 */
const MIN_PART = 0.3;

/**
 * Computes the admitted fraction of each rank, the most urgent first, and of each account. `overall` is the fraction of
 * all work for which there is capacity, 0 to 1.
 */
export function computeFractions(ranks: RankWork[], overall: number): RankFractions[] {
    const sorted = [...ranks].sort((left, right) => left.rank - right.rank);
    const sums = sorted.map(({ accounts }) => [...accounts.values()].reduce((sum, { work }) => sum + work, 0));
    const total = sums.reduce((sum, work) => sum + work, 0);
    const floor = overall * MIN_PART;
    let remaining = total * (overall - floor);
    return sorted.map(({ rank, accounts }, at) => {
        const extra = Math.min(sums[at] * (1 - floor), remaining);
        remaining -= extra;
        const fraction = sums[at] === 0 ? overall : Math.min(1, floor + extra / sums[at]);
        return { rank, fraction, byAccount: computeAccountFractions(accounts, sums[at], fraction, floor) };
    });
}

/**
 * Divides the admitted work of a rank equally over its accounts. An account counts with the work that it has offered with
 * some certainty: otherwise one large request would make its account a large one.
 */
function computeAccountFractions(
    accounts: Map<string, AccountWork>,
    sum: number,
    fraction: number,
    floor: number,
): Map<string, number> {
    const certain = [...accounts.values()].map(({ work, deviation }) => Math.max(0, work - deviation));
    const level = computeLevel(certain, fraction);
    const wanted = [...accounts].map(([account, { work }], at) => ({
        account,
        work,
        fraction: certain[at] <= level ? 1 : level / certain[at],
    }));
    // The uncertain part of the work is not levelled, so the fractions are scaled to the admitted work of the rank.
    const scale = findScale(wanted, sum * fraction, floor);
    return new Map(wanted.map(item => [item.account, computeBounded(item.fraction * scale, floor)]));
}

/** Computes the work that no account exceeds if `fraction` of all work is divided equally. */
function computeLevel(works: number[], fraction: number): number {
    let remaining = works.reduce((sum, work) => sum + work, 0) * fraction;
    const sorted = [...works].sort((left, right) => left - right);
    for (const [at, work] of sorted.entries()) {
        const even = remaining / (sorted.length - at);
        if (work > even) {
            return even;
        }
        remaining -= work;
    }
    return Number.POSITIVE_INFINITY;
}

/** Number of halvings that find the scale to within a thousandth. */
const HALVINGS = 14;
const MAX_SCALE = 16;

function findScale(items: { work: number; fraction: number }[], admitted: number, floor: number): number {
    let low = 0;
    let high = MAX_SCALE;
    for (let step = 0; step < HALVINGS; step++) {
        const middle = (low + high) / 2;
        const sum = items.reduce((total, item) => total + item.work * computeBounded(item.fraction * middle, floor), 0);
        if (sum < admitted) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return high;
}

function computeBounded(fraction: number, floor: number): number {
    return Math.min(1, Math.max(floor, fraction));
}
