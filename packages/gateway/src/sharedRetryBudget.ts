import { RetryBudget } from "@kumquathall/retries";

export interface SharedRetryBudgetOptions {
    /** Repeats for each first attempt that all gateways together may send. */
    ratio: number;
    /** Repeats beyond those that all gateways together may send in a window. */
    slack: number;
    /** Gateways that share the budget, as far as is known. */
    countGateways: () => number;
}

/** Part of the budget that is used: windows overlap, and gateways learn of each other with a delay. */
const USED_PART = 0.5;
/** A gateway that has just started may have used its part in its life before, so it begins with a single repeat. */
const INITIAL_TOKENS = 1;

/** This gateway's part of the repeats that all gateways together may send to a service. */
export class SharedRetryBudget {
    private readonly budget: RetryBudget;

    constructor(private readonly options: SharedRetryBudgetOptions) {
        this.budget = new RetryBudget({
            ratio: options.ratio * USED_PART,
            maxTokens: this.computePart(),
            initialTokens: INITIAL_TOKENS,
        });
    }

    /** Counts a first attempt. */
    recordRequest(): void {
        this.budget.setMaxTokens(this.computePart());
        this.budget.recordRequest();
    }

    /** Takes one repeat out of the budget; `false` when this gateway's part is spent. */
    takeRetry(): boolean {
        this.budget.setMaxTokens(this.computePart());
        return this.budget.takeRetry();
    }

    private computePart(): number {
        const { slack, countGateways } = this.options;
        return Math.max(1, slack * USED_PART / Math.max(1, countGateways()));
    }
}
