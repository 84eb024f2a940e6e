import type { Logger } from "@kumquathall/logger";
import { Counter, type Registry } from "prom-client";

export interface StallMonitorOptions {
    logger: Logger;
    metrics: Registry;
}

const INTERVAL_MS = 250;
/** Delay of the event loop from which a stall is logged and counted, in milliseconds: peers' timeouts are longer. */
const STALL_MS = 500;

/**
 * Logs and counts the times at which this process stood still. What its timers report of peers right after a stall may be
 * due to the stall: the bytes that arrived meanwhile have not been read yet.
 */
export class StallMonitor {
    private readonly stalls: Counter;
    private readonly timer: NodeJS.Timeout;
    private expectedAt = performance.now() + INTERVAL_MS;

    constructor(private readonly options: StallMonitorOptions) {
        this.stalls = new Counter({
            name: "kumquathall_process_stalls_total",
            help: "Times at which the process ran nothing for half a second or longer",
            registers: [options.metrics],
        });
        this.timer = setInterval(() => this.check(performance.now()), INTERVAL_MS);
        this.timer.unref();
    }

    close(): void {
        clearInterval(this.timer);
    }

    private check(now: number): void {
        const delayMs = now - this.expectedAt;
        this.expectedAt = now + INTERVAL_MS;
        if (delayMs >= STALL_MS) {
            this.stalls.inc();
            this.options.logger.warn("process-stalled", { stalledMs: Math.round(delayMs) });
        }
    }
}
