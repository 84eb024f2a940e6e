import type { Logger } from "@kumquathall/logger";

/** Logs each step of a role's start once, with the time since the process started. */
export class StartSteps {
    private readonly recorded = new Set<string>();

    constructor(private readonly logger: Logger) {}

    record(step: string): void {
        if (!this.recorded.has(step)) {
            this.recorded.add(step);
            this.logger.info("start-step", { step, sinceStartMs: Math.round(performance.now()) });
        }
    }
}
