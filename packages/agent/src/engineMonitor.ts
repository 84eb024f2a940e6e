import type { Logger } from "@kumquathall/logger";
import type { LoadReport } from "@kumquathall/types";
import type { EngineClient, EngineState } from "./engineClient.js";

export interface EngineMonitorOptions {
    engine: EngineClient;
    logger: Logger;
    intervalMs?: number;
    /** Called with each load report. */
    onReport: (report: LoadReport) => void;
    /** Called when the engine stopped responding or was restarted. */
    onLost: () => void;
}

const DEFAULT_INTERVAL_MS = 250;
/** Number of consecutive failed polls after which the engine counts as lost. */
const FAILED_POLLS_UNTIL_LOST = 3;

/** Polls the engine's health, incarnation and load. */
export class EngineMonitor {
    private state: EngineState | undefined;
    private consecutiveFailures = 0;
    private isClosed = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: EngineMonitorOptions) {
        void this.poll();
    }

    /** Whether the engine responded recently. */
    isHealthy(): boolean {
        return this.state !== undefined;
    }

    /** Incarnation of the engine. It changes when the engine restarts. */
    getIncarnation(): string | undefined {
        return this.state?.incarnation;
    }

    /** Marks the engine as lost without waiting for the next poll. Also called when a request finds it unavailable. */
    markLost(): void {
        if (this.state !== undefined) {
            this.state = undefined;
            this.options.logger.warn("engine-lost");
            this.options.onLost();
        }
    }

    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    private async poll(): Promise<void> {
        try {
            const state = await this.options.engine.readState();
            this.consecutiveFailures = 0;
            this.acceptState(state);
        }
        catch {
            this.consecutiveFailures++;
            if (this.consecutiveFailures >= FAILED_POLLS_UNTIL_LOST) {
                this.markLost();
            }
        }
        if (!this.isClosed) {
            this.timer = setTimeout(() => void this.poll(), this.options.intervalMs ?? DEFAULT_INTERVAL_MS);
        }
    }

    private acceptState(state: EngineState): void {
        if (this.state !== undefined && this.state.incarnation !== state.incarnation) {
            this.markLost();
        }
        this.state = state;
        this.options.onReport({
            running: state.running,
            queued: state.queued,
            ageMs: state.ageMs,
            cachedPrefixes: state.cachedPrefixes,
            cacheSequence: state.cacheSequence,
        });
    }
}
