import type { DemandItem, EngineProfile, ModelDemandCast } from "@kumquathall/types";
import { findDemandFault } from "./findDemandFault.js";

interface DemandReport {
    receivedAt: number;
    gateway: string;
    items: DemandItem[];
}

/** Sum of the items about one model in the reports of a window. */
interface DemandSum {
    /** Number of items; the sum is dropped with the last, so that no rounding error stays. */
    items: number;
    workMs: number;
    requests: number;
}

/** Reports within this time count; a gateway that sends none for so long has no demand, in milliseconds. */
const WINDOW_MS = 5000;
/** Time of demand that must be known before shares are computed from it, in milliseconds. */
const MIN_KNOWN_MS = 2000;
/** A report is received at the end of the interval that it is about, in milliseconds. */
const REPORT_INTERVAL_MS = 1000;
/** Reports of one gateway in a window, with room for delayed ones. */
const MAX_REPORTS = 16;
/** Gateways whose reports are kept; more than there may be. */
const MAX_GATEWAYS = 1000;
/** Requests in a window from which shares are computed: the standard error of a share of a half is then a tenth of it. */
const MIN_REQUESTS = 100;
const MS_PER_SECOND = 1000;

/** Merges what gateways report of the work that callers offer. Times are local monotonic milliseconds. */
export class DemandBoard {
    /** Reports of the last window, oldest first. */
    private reports: DemandReport[] = [];
    /** Number of those reports by gateway. */
    private readonly counts = new Map<string, number>();
    /** Sums of those reports by service and model. */
    private readonly sums = new Map<string, Map<string, DemandSum>>();
    /** When the first report was received after a window without any. */
    private knownSince: number | undefined;

    /** Records a report of a gateway; returns what makes it unusable, or `undefined`. */
    record(gateway: string, report: ModelDemandCast, now: number): string | undefined {
        this.removeStale(now);
        const count = this.counts.get(gateway) ?? 0;
        const fault = findDemandFault(report)
            ?? (count >= MAX_REPORTS ? "the gateway reports too often" : undefined)
            ?? (count === 0 && this.counts.size >= MAX_GATEWAYS ? "more gateways report than may be" : undefined);
        if (fault !== undefined) {
            return fault;
        }
        this.knownSince ??= now;
        this.counts.set(gateway, count + 1);
        this.reports.push({ receivedAt: now, gateway, items: report.items });
        report.items.forEach(item => this.addItem(item));
        return undefined;
    }

    /** Computes each model's share of a service's work; `undefined` until 2 s of demand and enough requests are known. */
    computeShares(service: string, profile: EngineProfile, now: number): Map<string, number> | undefined {
        this.removeStale(now);
        const sums = this.sums.get(service);
        if (sums === undefined || this.knownSince === undefined || now - this.knownSince < MIN_KNOWN_MS) {
            return undefined;
        }
        const listed = profile.models.map(model => sums.get(model.name) ?? { workMs: 0, requests: 0 });
        const requests = listed.reduce((sum, item) => sum + item.requests, 0);
        const total = listed.reduce((sum, item) => sum + item.workMs, 0);
        return total > 0 && requests >= MIN_REQUESTS
            ? new Map(profile.models.map((model, at) => [model.name, listed[at].workMs / total]))
            : undefined;
    }

    /** Lists the work of all gateways, per second, as the average of the last 5 s. */
    listTotals(now: number): DemandItem[] {
        this.removeStale(now);
        const knownMs = now - (this.knownSince ?? now) + REPORT_INTERVAL_MS;
        const seconds = Math.min(WINDOW_MS, knownMs) / MS_PER_SECOND;
        return [...this.sums].flatMap(([service, sums]) =>
            [...sums].map(([model, { workMs, requests }]) => ({
                service,
                model,
                workMs: workMs / seconds,
                requests: requests / seconds,
            }))
        );
    }

    private addItem({ service, model, workMs, requests }: DemandItem): void {
        const sums = this.sums.get(service) ?? new Map<string, DemandSum>();
        const sum = sums.get(model) ?? { items: 0, workMs: 0, requests: 0 };
        sums.set(model, { items: sum.items + 1, workMs: sum.workMs + workMs, requests: sum.requests + requests });
        this.sums.set(service, sums);
    }

    private removeItem({ service, model, workMs, requests }: DemandItem): void {
        const sums = this.sums.get(service);
        const sum = sums?.get(model);
        if (sums === undefined || sum === undefined) {
            return;
        }
        if (sum.items > 1) {
            sums.set(model, {
                items: sum.items - 1,
                workMs: Math.max(0, sum.workMs - workMs),
                requests: Math.max(0, sum.requests - requests),
            });
            return;
        }
        sums.delete(model);
        if (sums.size === 0) {
            this.sums.delete(service);
        }
    }

    private removeStale(now: number): void {
        const count = this.reports.findIndex(report => now - report.receivedAt < WINDOW_MS);
        const stale = this.reports.splice(0, count < 0 ? this.reports.length : count);
        for (const { gateway, items } of stale) {
            items.forEach(item => this.removeItem(item));
            const left = (this.counts.get(gateway) ?? 0) - 1;
            if (left > 0) {
                this.counts.set(gateway, left);
            }
            else {
                this.counts.delete(gateway);
            }
        }
        if (this.reports.length === 0) {
            this.knownSince = undefined;
        }
    }
}
