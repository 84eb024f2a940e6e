import type { DemandItem, DemandTotalsCast } from "@kumquathall/types";
import { findDemandFault } from "./findDemandFault.js";

/** Totals that are older than this are not used, in milliseconds. */
const MAX_AGE_MS = 3000;
/** Totals are per second. */
const INTERVAL_MS = 1000;

/** The newest work of all gateways, as the leader sent it. Times are local monotonic milliseconds. */
export class DemandTotals {
    private items: DemandItem[] = [];
    private receivedAt = Number.NEGATIVE_INFINITY;

    /** Records totals; returns what makes them unusable, or `undefined`. */
    record(cast: DemandTotalsCast, now: number): string | undefined {
        const fault = findDemandFault({ items: cast.items, intervalMs: INTERVAL_MS });
        if (fault === undefined) {
            this.items = cast.items;
            this.receivedAt = now;
        }
        return fault;
    }

    /** Finds the work of one model per second; `undefined` if no recent totals are known. */
    find(service: string, model: string, now: number): DemandItem | undefined {
        return now - this.receivedAt > MAX_AGE_MS
            ? undefined
            : this.items.find(item => item.service === service && item.model === model);
    }
}
