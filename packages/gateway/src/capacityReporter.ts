import { type AdmittedShare, SharingRefusal, type SharingRefusalValue } from "@kumquathall/capacity-sharing";
import type { Logger } from "@kumquathall/logger";
import type { Gauge } from "prom-client";

export interface CapacityReporterOptions {
    logger: Logger;
    admittedFraction: Gauge<"service" | "model" | "rank">;
}

/** A decision with what led to it. */
export interface ReportedDecision {
    refusal: SharingRefusalValue | undefined;
    share: AdmittedShare;
    capacityMs: number;
    /** Room has been kept for the return; `undefined` if the request isn't refused. */
    hasReturnRoom: boolean | undefined;
}

interface ModelReport {
    loggedAt: number;
    wasOverloaded: boolean;
    late: number;
    aboveShare: number;
    returns: number;
    /** Ranks whose metric is below 1. */
    ranks: Set<number>;
}

/** Interval between two lines of a model, in milliseconds. */
const LOG_INTERVAL_MS = 1000;
const MAX_MODELS = 256;

/** Logs, at most once per second and model, how capacity is shared while requests are refused. */
export class CapacityReporter {
    private readonly reports = new Map<string, ModelReport>();

    constructor(private readonly options: CapacityReporterOptions) {}

    /** Counts a decision. */
    record({ service, model }: { service: string; model: string }, decision: ReportedDecision, now: number): void {
        const report = this.getOrCreate(service, model);
        report.late += decision.refusal === SharingRefusal.Late ? 1 : 0;
        report.aboveShare += decision.refusal === SharingRefusal.AboveShare ? 1 : 0;
        report.returns += decision.hasReturnRoom === true ? 1 : 0;
        const { isOverloaded } = decision.share;
        const hasNews = isOverloaded || report.wasOverloaded || report.late + report.aboveShare > 0;
        if (!hasNews || now - report.loggedAt < LOG_INTERVAL_MS) {
            return;
        }
        this.setMetric(service, model, report, decision.share);
        this.options.logger.info("capacity-shared", {
            service,
            model,
            overloaded: isOverloaded,
            offeredMs: Math.round(decision.share.offeredMs),
            capacityMs: Math.round(decision.capacityMs),
            gatewayShare: decision.share.gatewayShare.toFixed(3),
            fractions: decision.share.ranks.map(item => `${item.rank}:${item.fraction.toFixed(2)}`).join() || undefined,
            late: report.late,
            aboveShare: report.aboveShare,
            returns: report.returns,
        });
        Object.assign(report, { loggedAt: now, wasOverloaded: isOverloaded, late: 0, aboveShare: 0, returns: 0 });
    }

    private setMetric(service: string, model: string, report: ModelReport, share: AdmittedShare): void {
        const { admittedFraction } = this.options;
        const present = new Set(share.ranks.map(item => item.rank));
        [...report.ranks].filter(rank => !present.has(rank)).forEach(rank =>
            admittedFraction.set({ service, model, rank: String(rank) }, 1)
        );
        share.ranks.forEach(({ rank, fraction }) =>
            admittedFraction.set({ service, model, rank: String(rank) }, fraction)
        );
        report.ranks = present;
    }

    private getOrCreate(service: string, model: string): ModelReport {
        const key = JSON.stringify([service, model]);
        const known = this.reports.get(key);
        if (known !== undefined) {
            return known;
        }
        for (const oldest of [...this.reports.keys()].slice(0, Math.max(0, this.reports.size - MAX_MODELS + 1))) {
            this.reports.delete(oldest);
        }
        const report = {
            loggedAt: Number.NEGATIVE_INFINITY,
            wasOverloaded: false,
            late: 0,
            aboveShare: 0,
            returns: 0,
            ranks: new Set<number>(),
        };
        this.reports.set(key, report);
        return report;
    }
}
