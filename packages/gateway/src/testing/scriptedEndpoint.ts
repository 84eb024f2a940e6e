import type { EndpointFact, HeartbeatFact } from "@kumquathall/types";
import type { AttemptHandler, AttemptRequest } from "../endpointPool.js";
import type { EndpointTracker, TrackedEndpoint } from "../endpointTracker.js";

/** An attempt that a test answers itself. */
export interface ScriptedAttempt {
    request: AttemptRequest;
    handler: AttemptHandler;
    isAborted: boolean;
    /** Whether the gateway reads nothing now. */
    isPaused: boolean;
    /** Whether its response has ended. */
    hasEnded: boolean;
    /** Id of the next event of its stream. */
    nextEventId: number;
}

/** An endpoint without a network: the gateway's attempts at it are kept, and a test answers them. */
export class ScriptedEndpoint {
    readonly attempts: ScriptedAttempt[] = [];
    /** Whether its connections are being opened, so that nothing is written to it yet. */
    isConnecting = false;

    private constructor(readonly id: string) {}

    /** Announces an endpoint of the service to the tracker, and replaces its connections. */
    static register(tracker: EndpointTracker, service: string, id: string, dataCentre?: string): ScriptedEndpoint {
        const endpoint = new ScriptedEndpoint(id);
        tracker.record([buildHeartbeat(service, id, dataCentre)], performance.now());
        const tracked = tracker.listPlainEndpoints(service, performance.now()).find(item => item.view.id === id);
        if (tracked === undefined) {
            throw new Error(
                `the tracker does not list the endpoint ${id}; register it before its heartbeat is too old`,
            );
        }
        const pool: Pick<TrackedEndpoint["pool"], "send" | "close" | "destroy"> = {
            send: (request, handler) => endpoint.recordAttempt(request, handler),
            close: () => undefined,
            destroy: () => undefined,
        };
        Object.assign(tracked, { pool });
        return endpoint;
    }

    /** Lists the attempts that were not aborted and have not ended. */
    listOpenAttempts(): ScriptedAttempt[] {
        return this.attempts.filter(attempt => !attempt.isAborted && !attempt.hasEnded);
    }

    private recordAttempt(request: AttemptRequest, handler: AttemptHandler) {
        const attempt: ScriptedAttempt = {
            request,
            handler,
            isAborted: false,
            isPaused: false,
            hasEnded: false,
            nextEventId: Number(request.headers["resume-after"] ?? 0) + 1,
        };
        this.attempts.push(attempt);
        return {
            abort: () => {
                attempt.isAborted = true;
            },
            isWritten: () => !this.isConnecting,
            stopReading: () => {
                attempt.isPaused = true;
            },
            startReading: () => {
                attempt.isPaused = false;
            },
        };
    }
}

const SIGNED_HEADERS: Record<string, string> = { signed: "1" };
const STREAM_HEADERS = { "signed": "1", "content-type": "text/event-stream", "transfer-encoding": "chunked" };

/** Sends the events of a stream up to `last`, with the head before the first. */
export function sendEvents(attempt: ScriptedAttempt, last: number): void {
    const { handler, request } = attempt;
    if (attempt.nextEventId === Number(request.headers["resume-after"] ?? 0) + 1) {
        handler.onHead(200, { ...STREAM_HEADERS, ...buildEcho(attempt) });
    }
    for (; attempt.nextEventId <= last; attempt.nextEventId++) {
        handler.onData(Buffer.from(formatEvent(attempt.nextEventId)));
    }
}

/** Sends a whole answer that is no stream. */
export function sendAnswer(attempt: ScriptedAttempt, status: number, body: string, headers = SIGNED_HEADERS): void {
    attempt.handler.onHead(status, { ...headers, ...buildEcho(attempt), "content-length": String(body.length) });
    attempt.handler.onData(Buffer.from(body));
    endResponse(attempt);
}

/** Builds the header in which endpoints name the request that they answer. */
export function buildEcho({ request }: ScriptedAttempt): Record<string, string> {
    const id = request.headers["request-id"];
    return id === undefined ? {} : { "request-id": id };
}

/** Ends a response as complete. */
export function endResponse(attempt: ScriptedAttempt): void {
    attempt.hasEnded = true;
    attempt.handler.onEnd();
}

export function formatEvent(id: number): string {
    return `id: ${id}\ndata: event ${id}\n\n`;
}

/** Builds the report of a sidecar that the endpoint's process no longer answers. */
export function buildLossReport(id: string): EndpointFact {
    return {
        kind: "observation",
        address: `${id}.example:1`,
        observerStartedMs: 1,
        number: 1,
        isReachable: false,
        bornMs: 1,
        engine: undefined,
    };
}

/** Builds the announcement of another incarnation at the address of an endpoint. */
export function buildRivalHeartbeat(service: string, id: string): EndpointFact {
    return { ...buildHeartbeat(service, id), id: `${id}-rival`, bornMs: 2 };
}

function buildHeartbeat(service: string, id: string, dataCentre = "d"): HeartbeatFact {
    return {
        kind: "heartbeat",
        id,
        service,
        address: `${id}.example:1`,
        dataCentre,
        slots: 4,
        isLeaving: false,
        bornMs: 1,
        sequence: 1,
        engine: undefined,
    };
}
