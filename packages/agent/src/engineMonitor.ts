import type { Logger } from "@kumquathall/logger";
import type { LoadReport } from "@kumquathall/types";
import type { EngineClient, EngineState } from "./engineClient.js";

export interface EngineMonitorOptions {
    engine: EngineClient;
    logger: Logger;
    intervalMs?: number;
    /** Called with each report that was read. */
    onReport: (report: LoadReport) => void;
    /** Called when the engine went away, or came back as another incarnation. */
    onLost: () => void;
}

const DEFAULT_INTERVAL_MS = 250;
/** Failed polls in a row after which the engine counts as gone. */
const FAILURES_TO_LOSE = 3;

/** Polls the engine's state: health, incarnation and load. */
export class EngineMonitor {
    private state: EngineState | undefined;
    private failures = 0;
    private isClosed = false;
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly options: EngineMonitorOptions) {
        void this.poll();
    }

    /** Whether the engine answered recently. */
    isHealthy(): boolean {
        return this.state !== undefined;
    }

    /** The engine's incarnation, which changes when it crashed. */
    getIncarnation(): string | undefined {
        return this.state?.incarnation;
    }

    /** Tells that a request found the engine gone; does not wait for the next poll. */
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
            this.failures = 0;
            this.acceptState(state);
        }
        catch {
            this.failures++;
            if (this.failures >= FAILURES_TO_LOSE) {
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
