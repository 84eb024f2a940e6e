import { RetryBudget } from "@kumquathall/retries";

export interface SharedRetryBudgetOptions {
    /** Retries for each first attempt that all gateways together may send. */
    ratio: number;
    /** Retries beyond the ratio that all gateways together may send in a window. */
    slack: number;
    /** Length of the window, in milliseconds. */
    windowMs: number;
    /** Counts the gateways that this gateway knows to share the budget. */
    countGateways: () => number;
}

/** Fraction of the ratio that is used: windows overlap, and gateways discover each other with a delay. */
const USED_RATIO = 0.5;
/** Fraction of the slack that can be saved up, and fraction that is added in each window. */
const SAVED_SLACK = 0.4;
const ADDED_SLACK = 0.4;
/** A restarted gateway may have spent its share before the restart, so it starts with a single retry. */
const INITIAL_TOKENS = 1;
/** Time from the first request in which gateways may not have discovered each other, in milliseconds. */
const DISCOVERY_MS = 5000;

/** This gateway's share of the retries that all gateways together may send to a service. */
export class SharedRetryBudget {
    private readonly budget: RetryBudget;
    /** Time up to which the slack has been added. */
    private addedUntil = performance.now() + DISCOVERY_MS;

    constructor(private readonly options: SharedRetryBudgetOptions) {
        this.budget = new RetryBudget({
            ratio: options.ratio * USED_RATIO,
            maxTokens: this.computeMaxTokens(),
            initialTokens: INITIAL_TOKENS,
        });
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.refresh();
        this.budget.recordRequest();
    }

    /** Whether this gateway's share has a retry. */
    hasRetry(): boolean {
        this.refresh();
        return this.budget.hasRetry();
    }

    /** Takes one retry out of the budget; `false` when this gateway's share is spent. */
    takeRetry(): boolean {
        this.refresh();
        return this.budget.takeRetry();
    }

    /** Adds the share of the slack since the last call, so that a service with few requests has retries as well. */
    private refresh(): void {
        this.budget.setMaxTokens(this.computeMaxTokens());
        const now = performance.now();
        if (now > this.addedUntil) {
            this.budget.add(this.computeShare(ADDED_SLACK) * (now - this.addedUntil) / this.options.windowMs);
            this.addedUntil = now;
        }
    }

    private computeMaxTokens(): number {
        return Math.max(1, this.computeShare(SAVED_SLACK));
    }

    private computeShare(fraction: number): number {
        const { slack, countGateways } = this.options;
        return slack * fraction / Math.max(1, countGateways());
    }
}
