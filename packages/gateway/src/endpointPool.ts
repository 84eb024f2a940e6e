import { ChunkPacer, type PacedChunks } from "@kumquathall/byte-collector";
import type { HeaderField } from "@kumquathall/types";
import { type Dispatcher, Pool } from "undici";
import { getParsedGate, isWithoutResponse, type ReadGate } from "./readGate.js";
import { createResetDetectingConnector, isTruncatedByReset } from "./resetDetectingConnector.js";

/** Receives the events of one attempt in this order; it ends with either `onEnd` or `onFailure`. */
export interface AttemptHandler {
    onHead(status: number, headers: Record<string, string | string[] | undefined>): void;
    onData(chunk: Buffer): void;
    /** The response is complete. */
    onEnd(): void;
    /** `isSent` is `false` only if no byte of the request can have reached the endpoint. */
    onFailure(error: Error, isSent: boolean): void;
}

export interface AttemptRequest {
    method: string;
    path: string;
    headers: Record<string, string>;
    body: Buffer;
    isRepeatable: boolean;
}

/** Handle of an attempt. After `abort`, its handler is not called again. */
export interface Attempt {
    abort(): void;
    /** Whether a byte of the request may have been written to the endpoint. */
    isWritten(): boolean;
    /** Reads no more of the response until `startReading`. */
    stopReading(): void;
    startReading(): void;
}

/** Timeout for opening a connection, in milliseconds: many round trips inside a region. */
const CONNECT_TIMEOUT_MS = 500;
/** Idle connections are closed after this long, in milliseconds, unless the endpoint announces a shorter limit. */
const IDLE_MS = 4000;
/** Idle limit for requests that must not be repeated: much shorter than the time endpoints keep connections open. */
const NON_REPEATABLE_IDLE_MS = 250;
/** A connection is closed this long before the idle limit that the endpoint announces, in milliseconds. */
const IDLE_MARGIN_MS = 1000;
/** Error codes of undici for failures before a request is written. */
const UNSENT_CODES = new Set([
    "UND_ERR_CONNECT_TIMEOUT",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_DESTROYED",
]);

/** Error codes of undici's parser for bytes that are not HTTP begin with this. */
const PARSER_CODE_PREFIX = "HPE_";
/** Responses with these statuses announce another one. */
const INTERIM_STATUSES = { first: 100, last: 199 } as const;
/** Message of undici's error for a response that no request waits for. */
const UNEXPECTED_RESPONSE_MESSAGE = "bad response";

/** Whether a connection was closed because of bytes that are no response. */
export function isMalformed(error: Error & { code?: string }): boolean {
    return error.code?.startsWith(PARSER_CODE_PREFIX) === true || isWithoutResponse(error);
}

/** Connection pool to one incarnation of an endpoint, without pipelining. */
export class EndpointPool {
    /** Called when bytes arrive on a connection on which no request waits for a response. */
    onExtraBytes: (() => void) | undefined;
    /** Errors of connections that a request has got. */
    private readonly reported = new WeakSet<Error>();
    private readonly pool: Pool;
    /** For requests that must not be repeated: a request on an idle connection that the endpoint dropped is reset. */
    private readonly nonRepeatablePool: Pool;

    /** `pacer` is shared by the responses of all endpoints. */
    constructor(address: string, maxConnections: number, private readonly pacer = new ChunkPacer()) {
        this.pool = createPool(address, maxConnections, IDLE_MS);
        this.nonRepeatablePool = createPool(address, maxConnections, NON_REPEATABLE_IDLE_MS);
        for (const pool of [this.pool, this.nonRepeatablePool]) {
            pool.on("disconnect", (_origin, _targets, error) => this.handleDisconnect(error));
        }
    }

    /** Sends a request and reports its progress to the handler. */
    send(request: AttemptRequest, handler: AttemptHandler): Attempt {
        const attempt = new PooledAttempt(handler, this.reported, this.pacer);
        const pool = request.isRepeatable ? this.pool : this.nonRepeatablePool;
        pool.dispatch({
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body.length === 0 ? undefined : request.body,
        }, attempt);
        return attempt;
    }

    /** Closes the connections once their running requests have ended. */
    close(): void {
        for (const pool of [this.pool, this.nonRepeatablePool]) {
            pool.close().catch(() => pool.destroy());
        }
    }

    private handleDisconnect(error: Error): void {
        if ((isMalformed(error) || error.message === UNEXPECTED_RESPONSE_MESSAGE) && !this.reported.has(error)) {
            this.onExtraBytes?.();
        }
    }

    /** Closes all connections at once and fails their requests with `error`. */
    destroy(error: Error): void {
        void this.pool.destroy(error);
        void this.nonRepeatablePool.destroy(error);
    }
}

function createPool(address: string, maxConnections: number, idleMs: number): Pool {
    return new Pool(`http://${address}`, {
        connections: maxConnections,
        pipelining: 1,
        connect: createResetDetectingConnector(CONNECT_TIMEOUT_MS),
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: idleMs,
        keepAliveMaxTimeout: idleMs,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
    });
}

class PooledAttempt implements Dispatcher.DispatchHandler, Attempt {
    private controller: Dispatcher.DispatchController | undefined;
    private isAborted = false;
    private isFinished = false;
    /** Number of reasons not to read. */
    private stops = 0;
    /** Reads the connection on which the response arrives. */
    private gate: ReadGate | undefined;
    private readonly chunks: PacedChunks;

    constructor(
        private readonly handler: AttemptHandler,
        private readonly reported: WeakSet<Error>,
        pacer: ChunkPacer,
    ) {
        this.chunks = pacer.open(this);
    }

    abort(): void {
        this.isAborted = true;
        this.chunks.close();
        if (!this.isFinished) {
            this.controller?.abort(new Error("attempt aborted"));
        }
    }

    isWritten(): boolean {
        return this.controller !== undefined;
    }

    stopReading(): void {
        if (!this.isFinished) {
            this.stops++;
            this.gate?.stop();
        }
    }

    startReading(): void {
        if (!this.isFinished) {
            this.stops--;
            this.applyStops();
        }
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isAborted) {
            controller.abort(new Error("attempt aborted"));
        }
    }

    onResponseStart(
        _controller: Dispatcher.DispatchController,
        status: number,
        headers: Record<string, string | string[] | undefined>,
    ): void {
        if (status >= INTERIM_STATUSES.first && status <= INTERIM_STATUSES.last) {
            return;
        }
        this.gate = getParsedGate();
        this.gate?.recordResponse();
        if (!this.isAborted) {
            this.handler.onHead(status, headers);
        }
    }

    onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.gate?.recordResponse();
        this.chunks.record(chunk.length);
        if (!this.isAborted) {
            this.handler.onData(chunk);
        }
    }

    onResponseEnd(): void {
        this.gate?.recordResponse();
        this.finish();
        if (this.isAborted) {
            return;
        }
        if (isTruncatedByReset()) {
            this.handler.onFailure(new Error("the connection was reset directly after the last bytes"), true);
            return;
        }
        this.handler.onEnd();
    }

    onResponseError(_controller: Dispatcher.DispatchController, error: Error & { code?: string }): void {
        this.finish();
        this.reported.add(error);
        if (!this.isAborted) {
            this.handler.onFailure(error, this.controller !== undefined && !UNSENT_CODES.has(error.code ?? ""));
        }
    }

    /** The connection may serve another request from now on. */
    private finish(): void {
        this.isFinished = true;
        this.chunks.close();
        this.stops = 0;
        this.applyStops();
    }

    private applyStops(): void {
        if (this.stops === 0) {
            this.gate?.start();
        }
    }
}

/** Converts Node's raw headers to fields, with order and spelling of the names kept. */
export function listRawHeaders(raw: string[]): HeaderField[] {
    const fields: HeaderField[] = [];
    for (let at = 0; at + 1 < raw.length; at += 2) {
        fields.push({ name: raw[at], value: raw[at + 1] });
    }
    return fields;
}
