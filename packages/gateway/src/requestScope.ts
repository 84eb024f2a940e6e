import { describeError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import type { GatewayMetrics } from "./metrics.js";
import { RefusalCause, refuse } from "./refusal.js";

export interface RequestScopeOptions {
    request: IncomingMessage;
    response: ServerResponse;
    codec: HttpHeaderCodec;
    logger: Logger;
    metrics: GatewayMetrics;
}

/**
 * Boundary of what runs for one request: everything that the runtime, a connection or another part of the process calls
 * for it runs through here. An exception ends this request and is logged and counted; nothing else is affected.
 */
export class RequestScope {
    /** Id of the request, once its headers are decoded. */
    requestId: string | undefined;
    /** Stops what goes on for the request, before it is answered. */
    private cleanUp: (() => void) | undefined;
    private hasFailed = false;

    constructor(private readonly options: RequestScopeOptions) {}

    setCleanUp(cleanUp: () => void): void {
        this.cleanUp = cleanUp;
    }

    /** Runs an effect for the request. */
    run(effect: () => void): void {
        try {
            effect();
        }
        catch (error) {
            this.fail(error);
        }
    }

    /** Returns a callback that runs within this scope. */
    attach<Values extends unknown[]>(effect: (...values: Values) => void): (...values: Values) => void {
        return (...values) => this.run(() => effect(...values));
    }

    /** Ends the request: with an answer that promises nothing, or by closing the connection if the answer has begun. */
    private fail(error: unknown): void {
        const { request, response, codec, logger, metrics } = this.options;
        metrics.requestFaults.inc();
        logger.error("request-failed", {
            requestId: this.requestId,
            error: describeError(error),
            stack: error instanceof Error ? error.stack : undefined,
        });
        if (this.hasFailed) {
            return;
        }
        this.hasFailed = true;
        try {
            this.cleanUp?.();
            request.resume();
            if (response.headersSent) {
                closeUnlessEnded(response);
                return;
            }
            response.setHeader("connection", "close");
            refuse(response, codec, this.requestId, RefusalCause.Internal);
        }
        catch (cleanUpError) {
            logger.error("request-failed", { requestId: this.requestId, error: describeError(cleanUpError) });
            response.destroy();
        }
    }
}

function closeUnlessEnded(response: ServerResponse): void {
    if (!response.writableEnded) {
        response.destroy();
    }
}
