import { allotShares } from "@kumquathall/admission";

interface EntryDemand {
    heardAt: number;
    demands: ReadonlyMap<string, number>;
}

export interface ShareTableOptions {
    /** An entry's share is given to others when it was silent for this long; longer than the share's lease, in milliseconds. */
    silenceMs: number;
}

/** The leader's view of what each entry wants of each service's capacity. Kept in memory only. */
export class ShareTable {
    private readonly entries = new Map<string, EntryDemand>();

    constructor(private readonly options: ShareTableOptions) {}

    /** Records what an entry wants, by service key. */
    recordDemand(entry: string, demands: ReadonlyMap<string, number>, now: number): void {
        this.entries.set(entry, { heardAt: now, demands });
    }

    /** Share of one entry of a capacity. */
    computeShare(entry: string, serviceKey: string, capacity: number, now: number): number {
        for (const [name, item] of this.entries) {
            if (now - item.heardAt > this.options.silenceMs) {
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
