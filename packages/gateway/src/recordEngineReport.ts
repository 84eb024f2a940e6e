import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EndpointWork } from "@kumquathall/request-cost";

/** Age of an engine's state when its report arrives, in milliseconds. */
const REPORT_LAG_MS = 200;

/** Records the engine's load in a view; a plain endpoint reports none in its facts. */
export function recordEngineReport(
    work: EndpointWork<object>,
    { bornMs, engine, engineReportedAt }: EndpointView,
): void {
    if (engine === undefined) {
        return;
    }
    if (engineReportedAt < (work.getReportedAt() ?? engineReportedAt)) {
        // The sidecar's observation no longer shows the engine, and the heartbeat before it is in use again.
        work.clearReport();
    }
    const { running, waiting, kvUsedTokens } = engine;
    work.recordReport({
        incarnation: bornMs,
        receivedAt: engineReportedAt,
        lagMs: REPORT_LAG_MS,
        running,
        waiting,
        kvUsedTokens,
    });
}
