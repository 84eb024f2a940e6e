import { type AccountWork, computeFractions, type RankFractions } from "./fractions.js";
import { RateAverage, WorkWindow } from "./workWindow.js";

/** What admission needs to know of a request. */
export interface OfferedRequest {
    service: string;
    model: string;
    /** 0 is the most urgent. */
    rank: number;
    account: string | undefined;
    /** Estimated work, in endpoint-milliseconds. */
    workMs: number;
    /** The request has been refused before. */
    isReturn: boolean;
}

/** Offered work of a model over all gateways, in endpoint-milliseconds per second. */
export interface DemandTotal {
    service: string;
    model: string;
    workMs: number;
    requests: number;
}

export interface RankedAdmissionOptions {
    countGateways: () => number;
}

/** Demand of a model over all gateways and what of it is admitted. */
export interface AdmittedShare {
    /** Endpoint-milliseconds per second. */
    offeredMs: number;
    /** Fraction of the work of all gateways that arrives here, 0 to 1. */
    gatewayShare: number;
    /** More is offered than the groups that serve can do. */
    isOverloaded: boolean;
    /** Fraction of all work that is admitted. */
    overall: number;
    /** Fractions by rank, most urgent first; empty unless overloaded. */
    ranks: RankFractions[];
}

interface DemandEstimate {
    offeredMs: number;
    /** What is offered with some certainty. */
    certainMs: number;
    gatewayShare: number;
}

interface ModelDemand {
    usedAt: number;
    ranks: Map<number, Map<string, WorkWindow>>;
    window: WorkWindow;
    recent: RateAverage;
    lasting: RateAverage;
    total: { workMs: number; at: number } | undefined;
    share: { value: AdmittedShare; capacityMs: number; at: number } | undefined;
}

const MS_PER_SECOND = 1000;
/** Totals that are older are not used, in milliseconds. */
const TOTAL_VALID_MS = 3000;
/** Span over which the totals are smoothed, in milliseconds. */
const TOTAL_SPAN_MS = 5000;
/** Span of the demand to which a burst is expected to return, in milliseconds. */
const LASTING_SPAN_MS = 20_000;
/** Greatest factor between totals, which are some seconds old, and the present demand. */
const MAX_TREND = 2;
/** Greatest factor between a gateway's share of the demand and an even share. */
const MAX_UNEVENNESS = 5;
/** Interval at which fractions are computed, in milliseconds. */
const REFRESH_MS = 100;
/** Bounds of memory. Further accounts of a rank count as one, and so do further ranks. */
const MAX_MODELS = 256;
const MAX_RANKS = 10;
const MAX_ACCOUNTS = 64;
const OTHER_ACCOUNTS = "";

/** Computes which fraction of each rank's and account's work is admitted while more is offered than can be served. */
export class RankedAdmission {
    private readonly models = new Map<string, ModelDemand>();

    constructor(private readonly options: RankedAdmissionOptions) {}

    /** Records a request at its arrival. A request that has returned is part of the demand already. */
    recordOffered(request: OfferedRequest, now: number): void {
        if (request.isReturn) {
            return;
        }
        const demand = this.getOrCreateDemand(request.service, request.model, now);
        demand.window.add(request.workMs, now);
        demand.recent.add(request.workMs, now);
        demand.lasting.add(request.workMs, now);
        const rank = findRankKey(demand, request.rank);
        const accounts = demand.ranks.get(rank) ?? new Map<string, WorkWindow>();
        demand.ranks.set(rank, accounts);
        const account = findAccountKey(accounts, request.account);
        const window = accounts.get(account) ?? new WorkWindow();
        accounts.set(account, window);
        window.add(request.workMs, now);
    }

    /** Records the demand over all gateways; items that are no rate of work are skipped. */
    recordTotals(items: readonly DemandTotal[], now: number): void {
        for (const { service, model, workMs } of items) {
            const demand = this.models.get(formatKey(service, model));
            if (demand !== undefined && Number.isFinite(workMs) && workMs >= 0) {
                demand.total = { workMs, at: now };
                demand.share = undefined;
            }
        }
    }

    countModels(): number {
        return this.models.size;
    }

    /**
     * Computes the demand and what of it is admitted. The groups that serve can do `capacityMs` of work in a second. At this
     * gateway, `dueMs` of work is about to return in the next second.
     */
    computeShare(service: string, model: string, capacityMs: number, dueMs: number, now: number): AdmittedShare {
        const demand = this.getOrCreateDemand(service, model, now);
        const { share } = demand;
        if (share !== undefined && now - share.at < REFRESH_MS && share.capacityMs === capacityMs) {
            return share.value;
        }
        const estimate = this.estimateDemand(demand, now);
        const isOverloaded = estimate.certainMs > capacityMs;
        const newMs = Math.max(0, capacityMs - dueMs / estimate.gatewayShare);
        const overall = isOverloaded ? newMs / estimate.offeredMs : 1;
        const ranks = isOverloaded ? computeFractions(listRanks(demand, now), overall) : [];
        const value = { ...estimate, isOverloaded, overall, ranks };
        demand.share = { value, capacityMs, at: now };
        return value;
    }

    /** Creates a prediction of the demand some milliseconds ahead: it returns from the present one to that of the last 20 s. */
    createPrediction(
        service: string,
        model: string,
        share: AdmittedShare,
        now: number,
    ): (afterMs: number) => number {
        const demand = this.getOrCreateDemand(service, model, now);
        const { work, coveredMs } = demand.window.get(now);
        const presentMs = work / coveredMs * MS_PER_SECOND;
        if (presentMs === 0) {
            return () => share.offeredMs;
        }
        const lastingMs = share.offeredMs * demand.lasting.get(now) / presentMs;
        return afterMs => lastingMs + (share.offeredMs - lastingMs) * Math.exp(-afterMs / TOTAL_SPAN_MS);
    }

    /**
     * Estimates the demand over all gateways. Totals show it as it was some seconds ago; what has changed since is
     * derived from this gateway's requests, as far as chance doesn't explain it.
     */
    private estimateDemand(demand: ModelDemand, now: number): DemandEstimate {
        const gateways = Math.max(1, this.options.countGateways());
        const { work, deviation, coveredMs } = demand.window.get(now);
        const toRate = (value: number) => Math.max(0, value) / coveredMs * MS_PER_SECOND;
        const { total } = demand;
        if (total === undefined || now - total.at > TOTAL_VALID_MS || total.workMs === 0) {
            return {
                offeredMs: toRate(work) * gateways,
                certainMs: toRate(work - deviation) * gateways,
                gatewayShare: 1 / gateways,
            };
        }
        const recentMs = demand.recent.get(now);
        const certainRecentMs = Math.min(toRate(work + deviation), Math.max(toRate(work - deviation), recentMs));
        const trend = recentMs === 0 ? 1 : computeBounded(certainRecentMs / recentMs, 1 / MAX_TREND, MAX_TREND);
        const offeredMs = total.workMs * trend;
        const gatewayShare = computeBounded(
            recentMs / total.workMs,
            1 / (gateways * MAX_UNEVENNESS),
            Math.min(1, MAX_UNEVENNESS / gateways),
        );
        return { offeredMs, certainMs: offeredMs, gatewayShare };
    }

    private getOrCreateDemand(service: string, model: string, now: number): ModelDemand {
        const key = formatKey(service, model);
        const known = this.models.get(key);
        if (known !== undefined) {
            known.usedAt = now;
            return known;
        }
        if (this.models.size >= MAX_MODELS) {
            const [oldest] = [...this.models].reduce((first, item) => item[1].usedAt < first[1].usedAt ? item : first);
            this.models.delete(oldest);
        }
        const demand: ModelDemand = {
            usedAt: now,
            ranks: new Map(),
            window: new WorkWindow(),
            recent: new RateAverage(TOTAL_SPAN_MS),
            lasting: new RateAverage(LASTING_SPAN_MS),
            total: undefined,
            share: undefined,
        };
        this.models.set(key, demand);
        return demand;
    }
}

/** Finds the admitted fraction of an account's requests of a rank. */
export function findFraction({ ranks, overall }: AdmittedShare, rank: number, account = OTHER_ACCOUNTS): number {
    const nearest = findNearestRank(ranks.map(item => item.rank), rank);
    const found = ranks.find(item => item.rank === nearest);
    return found?.byAccount.get(account) ?? found?.byAccount.get(OTHER_ACCOUNTS) ?? found?.fraction ?? overall;
}

/** Finds the known rank that is nearest; `rank` itself if none is known. */
function findNearestRank(ranks: Iterable<number>, rank: number): number {
    let nearest = rank;
    let distance = Number.POSITIVE_INFINITY;
    for (const known of ranks) {
        if (Math.abs(known - rank) < distance) {
            nearest = known;
            distance = Math.abs(known - rank);
        }
    }
    return nearest;
}

function findRankKey({ ranks }: ModelDemand, rank: number): number {
    return ranks.has(rank) || ranks.size < MAX_RANKS ? rank : findNearestRank(ranks.keys(), rank);
}

function findAccountKey(accounts: Map<string, WorkWindow>, account = OTHER_ACCOUNTS): string {
    return accounts.has(account) || accounts.size < MAX_ACCOUNTS ? account : OTHER_ACCOUNTS;
}

/** Lists the work of each rank and account, and removes accounts and ranks without any. */
function listRanks({ ranks }: ModelDemand, now: number): { rank: number; accounts: Map<string, AccountWork> }[] {
    return [...ranks].flatMap(([rank, windows]) => {
        const accounts = new Map<string, AccountWork>();
        for (const [account, window] of windows) {
            const item = window.get(now);
            if (item.work > 0) {
                accounts.set(account, item);
            }
            else {
                windows.delete(account);
            }
        }
        if (accounts.size === 0) {
            ranks.delete(rank);
            return [];
        }
        return [{ rank, accounts }];
    });
}

function computeBounded(value: number, min: number, max: number): number {
    return Math.min(max, Math.max(min, value));
}

export function formatKey(service: string, model: string): string {
    return JSON.stringify([service, model]);
}
