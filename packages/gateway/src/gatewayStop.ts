import { type CallerConnections, CloseReason } from "./callerConnections.js";
import type { Forwarder } from "./forwarder.js";
import type { StopPlan } from "./stopPlan.js";

export interface GatewayStopOptions {
    plan: StopPlan;
    connections: CallerConnections;
    forwarder: Forwarder;
}

const CHECK_MS = 50;

/** The stop of a gateway: requests that still arrive are served, those in flight are completed, and nothing is left behind. */
export class GatewayStop {
    private readonly startedAt = performance.now();

    constructor(private readonly options: GatewayStopOptions) {}

    getElapsedMs(): number {
        return performance.now() - this.startedAt;
    }

    /** Resolves when every response has left the process, or when the plan has no time left. */
    async complete(): Promise<void> {
        const { plan, connections, forwarder } = this.options;
        connections.announceClose();
        for (;;) {
            const sinceMs = this.getElapsedMs();
            const isOutOfRotation = sinceMs > plan.acceptAllUntilMs;
            if (isOutOfRotation) {
                // A caller with an idle connection detects the stop only when the connection closes.
                connections.closeIdle(CloseReason.Stopping);
            }
            // Requests that wait at the sockets are read first.
            await new Promise(resolve => setImmediate(resolve));
            if (sinceMs >= plan.endMs) {
                forwarder.endAll();
            }
            const isComplete = isOutOfRotation && connections.countUnfinished() === 0;
            if (isComplete || sinceMs >= plan.closeMs) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, CHECK_MS));
        }
    }
}
