import { collectWithin } from "@kumquathall/byte-collector";
import { KumquathallError } from "@kumquathall/errors";
import type { FencingNumber, HeaderField, ModelLoad, RunMessage } from "@kumquathall/types";
import type { EventEmitter } from "node:events";
import type { Readable } from "node:stream";
import { Pool } from "undici";

/** A request to the engine failed, or the engine refused an order. */
export class EngineError extends KumquathallError {
    /** Whether the engine provably did not start the request. */
    readonly isNotStarted: boolean;

    constructor(message: string, isNotStarted: boolean, cause?: unknown) {
        super(message, cause);
        this.isNotStarted = isNotStarted;
    }
}

/** Status and headers of an engine's response, and its body as a stream. */
export interface EngineResponse {
    status: number;
    headers: HeaderField[];
    body: AsyncIterable<Uint8Array>;
    /** Reads the complete body. Use either this or `body`. */
    readBody: () => Promise<Uint8Array>;
}

/** State reported by an engine. The figures may be outdated; `ageMs` is their age. */
export interface EngineState {
    incarnation: string;
    models: ModelLoad[];
    running: number;
    queued: number;
    ageMs: number;
    cachedPrefixes: string[];
    cacheSequence: number;
}

const ORDER_TIMEOUT_MS = 600_000;
const STATE_TIMEOUT_MS = 2000;
/** Limits of what is held of a response without events, and of an answer to an order or about the state, in bytes. */
const MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
const MAX_STATE_BYTES = 1024 * 1024;
const MAX_CONNECTIONS = 256;
/** Range of the statuses of final responses (RFC 9110, section 15). */
const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;
const DROPPED_HEADERS = new Set([
    "connection",
    "keep-alive",
    "transfer-encoding",
    "content-length",
    "date",
    "upgrade",
    "proxy-authenticate",
    "trailer",
    "te",
]);
/** Error codes that prove that the request did not reach the engine. */
const NOT_STARTED_CODES = new Set([
    "ECONNREFUSED",
    "ENOTFOUND",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** HTTP client for the engine or plain service of this agent. */
export abstract class EngineClient {
    protected readonly pool: Pool;

    constructor(url: string) {
        this.pool = new Pool(url, {
            connections: MAX_CONNECTIONS,
            pipelining: 1,
            connect: { timeout: 1000 },
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Orders the engine to load exactly these models. */
    abstract load(models: ModelLoad[], fencing: FencingNumber): Promise<void>;

    /** Orders the engine to stop all running requests. Resolves once none runs. */
    abstract release(fencing: FencingNumber): Promise<void>;

    /** Reads the engine's state. Rejects if the engine is unavailable. */
    abstract readState(): Promise<EngineState>;

    /** Sends one request to the engine; it is aborted when `signal` emits `abort`. Rejects with {@link EngineError}. */
    async run(message: RunMessage, signal: EventEmitter): Promise<EngineResponse> {
        try {
            const headers: Record<string, string> = { "x-priority": String(message.priority) };
            for (const field of message.headers) {
                headers[field.name] = field.value;
            }
            const hasBody = message.body.length > 0;
            const response = await this.pool.request({
                method: message.method,
                path: message.path,
                headers,
                body: hasBody ? message.body : undefined,
                signal,
            });
            const { body, statusCode } = response;
            if (statusCode < FIRST_FINAL_STATUS || statusCode > LAST_STATUS) {
                body.on("error", () => undefined).destroy();
                throw new EngineError(
                    `the engine's response has the status ${statusCode}, which is none of HTTP`,
                    false,
                );
            }
            const readBody = () => readWithin(body, MAX_RESPONSE_BYTES);
            return { status: statusCode, headers: selectHeaders(response.headers), body, readBody };
        }
        catch (error) {
            if (error instanceof EngineError) {
                throw error;
            }
            throw new EngineError(
                `request to the engine failed: ${String(error)}`,
                NOT_STARTED_CODES.has(getCode(error)),
                error,
            );
        }
    }

    close(): Promise<void> {
        return this.pool.destroy();
    }

    protected async sendJson<Answer>(
        method: "GET" | "POST",
        path: string,
        value: unknown,
        timeoutMs: number,
    ): Promise<Answer> {
        const response = await this.pool.request({
            method,
            path,
            body: value === undefined ? undefined : JSON.stringify(value),
            headers: value === undefined ? {} : { "content-type": "application/json" },
            signal: AbortSignal.timeout(timeoutMs),
        });
        const text = Buffer.from(await readWithin(response.body, MAX_STATE_BYTES)).toString();
        if (response.statusCode >= 300) {
            throw new EngineError(`the engine responded with ${response.statusCode} to ${path}`, true);
        }
        return JSON.parse(text) as Answer;
    }
}

/** Client of a model engine, which takes load and release orders and reports its state. */
export class ModelEngineClient extends EngineClient {
    override async load(models: ModelLoad[], fencing: FencingNumber): Promise<void> {
        await this.sendJson("POST", "/orders", { kind: "load", fencing, models }, ORDER_TIMEOUT_MS);
    }

    override async release(fencing: FencingNumber): Promise<void> {
        await this.sendJson("POST", "/orders", { kind: "release", fencing }, ORDER_TIMEOUT_MS);
    }

    override readState(): Promise<EngineState> {
        return this.sendJson<EngineState>("GET", "/state", undefined, STATE_TIMEOUT_MS);
    }
}

/** Client of a plain service, which takes no orders. It counts as healthy while it responds to HTTP with any status. */
export class PlainEngineClient extends EngineClient {
    override load(): Promise<void> {
        return Promise.resolve();
    }

    override release(): Promise<void> {
        return Promise.resolve();
    }

    override async readState(): Promise<EngineState> {
        const response = await this.pool.request({
            method: "GET",
            path: "/state",
            signal: AbortSignal.timeout(STATE_TIMEOUT_MS),
        });
        await response.body.dump();
        return { incarnation: "", models: [], running: 0, queued: 0, ageMs: 0, cachedPrefixes: [], cacheSequence: 0 };
    }
}

/** Reads a whole body. Rejects with {@link EngineError} and closes the connection if it has more than `maxBytes`. */
async function readWithin(body: Readable, maxBytes: number): Promise<Uint8Array> {
    const bytes = await collectWithin(body, maxBytes);
    if (bytes === undefined) {
        throw new EngineError(`the response has more than the ${maxBytes} bytes that an agent holds`, false);
    }
    return bytes;
}

function selectHeaders(headers: Record<string, string | string[] | undefined>): HeaderField[] {
    const fields: HeaderField[] = [];
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !DROPPED_HEADERS.has(name)) {
            const values = Array.isArray(value) ? value : [value];
            values.forEach(item => fields.push({ name, value: item }));
        }
    }
    return fields;
}

function getCode(error: unknown): string {
    return typeof error === "object" && error !== null && "code" in error ? String(error.code) : "";
}
