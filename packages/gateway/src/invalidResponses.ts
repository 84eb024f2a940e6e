import type { Logger } from "@kumquathall/logger";
import type { EndpointPool } from "./endpointPool.js";
import type { GatewayMetrics } from "./metrics.js";

/** Why bytes of an endpoint are not a response to the request that waits for one. */
export const InvalidResponseReason = {
    OtherRequest: "other-request",
    NoId: "no-id",
    Unsigned: "unsigned",
    Encoded: "encoded",
    TooLarge: "too-large",
    /** Bytes arrived while no request waited on the connection. */
    ExtraBytes: "extra-bytes",
    /** The status is none of HTTP, such as 000. */
    NoStatus: "no-status",
    /** The bytes are not HTTP. */
    Malformed: "malformed",
} as const;
export type InvalidResponseReasonValue = (typeof InvalidResponseReason)[keyof typeof InvalidResponseReason];

export interface InvalidResponse {
    /** Id of the endpoint's incarnation. */
    endpoint: string;
    reason: InvalidResponseReasonValue;
    /** The request that waited for a response, if any did. */
    requestId?: string | undefined;
    status?: number;
}

/** Lines of one reason that are logged in each interval; all responses are counted. */
const MAX_LINES = 5;
const INTERVAL_MS = 1000;

/** Counts and logs the responses that are not what the endpoint owed, by reason. */
export class InvalidResponses {
    private readonly lines = new Map<string, { since: number; count: number }>();

    constructor(
        private readonly logger: Logger,
        private readonly counter: GatewayMetrics["invalidResponses"],
    ) {}

    record({ endpoint, reason, requestId, status }: InvalidResponse): void {
        this.counter.inc({ reason });
        const now = performance.now();
        const known = this.lines.get(reason);
        const line = known === undefined || now - known.since >= INTERVAL_MS ? { since: now, count: 0 } : known;
        this.lines.set(reason, line);
        line.count++;
        if (line.count <= MAX_LINES) {
            const skipped = line === known || known === undefined ? 0 : Math.max(0, known.count - MAX_LINES);
            this.logger.warn("invalid-response", {
                endpoint,
                reason,
                requestId,
                status,
                skipped: skipped === 0 ? undefined : skipped,
            });
        }
    }

    /** Records bytes that arrive on the endpoint's connections while no request waits there. */
    watch({ view, pool }: { view: { id: string }; pool: EndpointPool }): void {
        pool.onExtraBytes ??= () => this.record({ endpoint: view.id, reason: InvalidResponseReason.ExtraBytes });
    }
}
