import { RetryBudget } from "@kumquathall/retries";

export interface SharedRetryBudgetOptions {
    /** Retries for each first attempt that all gateways together may send. */
    ratio: number;
    /** Retries beyond the ratio that all gateways together may send in a window. */
    slack: number;
    /** Counts the gateways that this gateway knows to share the budget. */
    countGateways: () => number;
}

/** Fraction of the budget that is used: windows overlap, and gateways discover each other with a delay. */
const USED_FRACTION = 0.5;
/** A restarted gateway may have spent its share before the restart, so it starts with a single retry. */
const INITIAL_TOKENS = 1;

/** This gateway's share of the retries that all gateways together may send to a service. */
export class SharedRetryBudget {
    private readonly budget: RetryBudget;

    constructor(private readonly options: SharedRetryBudgetOptions) {
        this.budget = new RetryBudget({
            ratio: options.ratio * USED_FRACTION,
            maxTokens: this.computeMaxTokens(),
            initialTokens: INITIAL_TOKENS,
        });
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.budget.setMaxTokens(this.computeMaxTokens());
        this.budget.recordRequest();
    }

    /** Takes one retry out of the budget; `false` when this gateway's share is spent. */
    takeRetry(): boolean {
        this.budget.setMaxTokens(this.computeMaxTokens());
        return this.budget.takeRetry();
    }

    private computeMaxTokens(): number {
        const { slack, countGateways } = this.options;
        return Math.max(1, slack * USED_FRACTION / Math.max(1, countGateways()));
    }
}
