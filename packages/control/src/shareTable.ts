import { allotShares } from "@kumquathall/admission";

interface EntryDemand {
    receivedAt: number;
    demands: ReadonlyMap<string, number>;
}

export interface ShareTableOptions {
    /** An entry without a report for this long loses its share, in milliseconds; longer than the share's lease. */
    expireAfterMs: number;
}

/** Demand of each entry for the capacity of each service, as reported to the leader. Kept in memory only. */
export class ShareTable {
    private readonly entries = new Map<string, EntryDemand>();

    constructor(private readonly options: ShareTableOptions) {}

    /** Records an entry's demands, by service key. */
    recordDemand(entry: string, demands: ReadonlyMap<string, number>, now: number): void {
        this.entries.set(entry, { receivedAt: now, demands });
    }

    /** Computes one entry's share of a service's capacity. */
    computeShare(entry: string, serviceKey: string, capacity: number, now: number): number {
        for (const [name, item] of this.entries) {
            if (now - item.receivedAt > this.options.expireAfterMs) {
                this.entries.delete(name);
            }
        }
        const demands = [...this.entries].map(([name, item]) => ({
            entry: name,
            demand: item.demands.get(serviceKey) ?? 0,
        }));
        return allotShares(capacity, demands).find(grant => grant.entry === entry)?.limit ?? 0;
    }
}
