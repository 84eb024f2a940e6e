import { computePrefixHashes } from "@kumquathall/routing";
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { computeAnswerTokens, STANDIN_CRASH_MARK } from "./answer.js";
import { readBody, sendJson } from "./httpBody.js";
import { PrefixCache } from "./prefixCache.js";
import { EngineScheduler, type SchedulerOptions } from "./scheduler.js";

export interface EngineOptions extends Partial<SchedulerOptions> {
    host?: string;
    port?: number;
    /** Whether orders with a stale fencing number are refused; default `enforced`. */
    fencing?: "enforced" | "ignored";
    /** Time to load a model from the weight store, in milliseconds. */
    loadMs?: number;
    maxCachedBlocks?: number;
    /** Delay with which `/state` reports the load and cache contents, in milliseconds. */
    reportLagMs?: number;
    /** Time for which a crashed engine refuses connections, in milliseconds. */
    restartMs?: number;
}

/** One loaded model with its adapters. */
export interface LoadedModel {
    model: string;
    version: string;
    adapters: string[];
}

interface EngineOrder {
    kind: "load" | "release";
    fencing: { term: number; index: number };
    models?: LoadedModel[];
}

interface ChatRequest {
    model: string;
    messages: { role: string; content: string }[];
    stream?: boolean;
    max_tokens?: number;
    adapter?: string;
    /** Number of leading tokens to omit, since the caller has received them already. */
    resume_after?: number;
}

interface StateSample {
    takenAt: number;
    running: number;
    queued: number;
    cachedPrefixes: string[];
    cacheSequence: number;
}

const DEFAULT_MAX_TOKENS = 16;
const SAMPLE_INTERVAL_MS = 50;

/** A small model engine: OpenAI-style chat completions, load and release orders, state reports and injected faults. */
export class StandinEngine {
    private readonly cache: PrefixCache;
    private readonly scheduler: EngineScheduler;
    private readonly server: Server;
    private incarnation = randomUUID();
    private models: LoadedModel[] = [];
    private fencing = { term: 0, index: 0 };
    private samples: StateSample[] = [];
    private readonly sampleTimer: NodeJS.Timeout;
    private isSilent = false;
    private port = 0;
    private readonly kvStore = new Map<string, Buffer>();
    /** Number of finished completions, for tests. */
    finishedCount = 0;
    /** Number of crashes, for tests. */
    crashCount = 0;

    private constructor(private readonly options: EngineOptions) {
        this.cache = new PrefixCache(options.maxCachedBlocks ?? 4096);
        const { stepMs = 10, blockMs = 4, maxBatch = 32 } = options;
        this.scheduler = new EngineScheduler({ stepMs, blockMs, maxBatch }, this.cache);
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
        this.sampleTimer = setInterval(() => this.recordSample(), SAMPLE_INTERVAL_MS);
    }

    static async listen(options: EngineOptions = {}): Promise<StandinEngine> {
        const engine = new StandinEngine(options);
        engine.port = options.port ?? 0;
        await engine.openSocket();
        return engine;
    }

    getUrl(): string {
        return `http://${this.options.host ?? "127.0.0.1"}:${this.port}`;
    }

    async close(): Promise<void> {
        clearInterval(this.sampleTimer);
        this.scheduler.abort();
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    /** Closes all connections, discards models and cache, and listens again as a new incarnation after `restartMs`. */
    async crash(): Promise<void> {
        this.crashCount++;
        this.scheduler.abort();
        this.cache.clear();
        this.models = [];
        this.incarnation = randomUUID();
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
        await new Promise(resolve => setTimeout(resolve, this.options.restartMs ?? 300));
        await this.openSocket();
    }

    /** Slows the engine down (`slowFactor` above 1), or makes it silent: it accepts requests and never responds. */
    setFault(fault: { slowFactor?: number; isSilent?: boolean }): void {
        this.scheduler.slowFactor = fault.slowFactor ?? this.scheduler.slowFactor;
        this.isSilent = fault.isSilent ?? this.isSilent;
    }

    private async openSocket(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.port, this.options.host ?? "127.0.0.1", () => resolve());
        });
        const bound = this.server.address();
        this.port = typeof bound === "object" && bound !== null ? bound.port : this.port;
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        try {
            const body = await readBody(request);
            if (this.isSilent) {
                return;
            }
            await this.dispatch(request, response, body);
        }
        catch (error) {
            if (!response.headersSent && !response.destroyed) {
                sendJson(response, 400, { error: String(error) });
            }
        }
    }

    private async dispatch(request: IncomingMessage, response: ServerResponse, body: Buffer): Promise<void> {
        const url = request.url ?? "/";
        if (request.method === "POST" && url === "/v1/chat/completions") {
            this.handleChat(JSON.parse(body.toString("utf8")) as ChatRequest, request, response);
        }
        else if (request.method === "POST" && url === "/orders") {
            await this.handleOrder(JSON.parse(body.toString("utf8")) as EngineOrder, response);
        }
        else if (url === "/state") {
            sendJson(response, 200, this.describeState());
        }
        else if (request.method === "POST" && url === "/faults") {
            this.setFault(JSON.parse(body.toString("utf8")) as { slowFactor?: number; isSilent?: boolean });
            sendJson(response, 200, {});
        }
        else if (url.startsWith("/kv/")) {
            this.handleKv(request, response, url.slice("/kv/".length), body);
        }
        else {
            sendJson(response, 404, { error: "no such path" });
        }
    }

    /** Exports or imports the key-value cache of a prompt; the stand-in stores it as opaque bytes. */
    private handleKv(request: IncomingMessage, response: ServerResponse, id: string, body: Buffer): void {
        if (request.method === "PUT") {
            this.kvStore.set(id, body);
            this.cache.store([id]);
            sendJson(response, 200, {});
            return;
        }
        const stored = this.kvStore.get(id);
        if (stored === undefined && this.cache.countCached([id]) === 0) {
            sendJson(response, 404, { error: "not cached" });
            return;
        }
        response.writeHead(200, { "content-type": "application/octet-stream" }).end(stored ?? Buffer.from(id));
    }

    private async handleOrder(order: EngineOrder, response: ServerResponse): Promise<void> {
        const isStale = order.fencing.term < this.fencing.term
            || (order.fencing.term === this.fencing.term && order.fencing.index < this.fencing.index);
        if (isStale && this.options.fencing !== "ignored") {
            sendJson(response, 409, { error: "old fencing number" });
            return;
        }
        if (!isStale) {
            this.fencing = order.fencing;
        }
        if (order.kind === "release") {
            this.scheduler.abort();
            this.destroyStreams();
            sendJson(response, 200, this.describeState());
            return;
        }
        const requestedModels = order.models ?? [];
        const isLoaded = JSON.stringify(requestedModels) === JSON.stringify(this.models);
        if (!isLoaded) {
            await new Promise(resolve => setTimeout(resolve, this.options.loadMs ?? 100));
            this.cache.clear();
            this.models = requestedModels;
        }
        sendJson(response, 200, this.describeState());
    }

    private readonly streams = new Set<ServerResponse>();

    private destroyStreams(): void {
        for (const stream of this.streams) {
            stream.destroy();
        }
        this.streams.clear();
    }

    private handleChat(chat: ChatRequest, request: IncomingMessage, response: ServerResponse): void {
        const prompt = chat.messages.map(message => message.content).join("\n");
        if (prompt.includes(STANDIN_CRASH_MARK)) {
            void this.crash();
            return;
        }
        const loaded = this.models.find(item => item.model === chat.model);
        if (loaded === undefined || (chat.adapter !== undefined && !loaded.adapters.includes(chat.adapter))) {
            sendJson(response, 404, { error: `model ${chat.model} is not loaded` });
            return;
        }
        const tokens = computeAnswerTokens(prompt, chat.max_tokens ?? DEFAULT_MAX_TOKENS).slice(chat.resume_after ?? 0);
        const id = randomUUID();
        this.streams.add(response);
        response.on("close", () => {
            this.streams.delete(response);
            this.scheduler.cancel(id);
        });
        const writer = chat.stream === true
            ? new StreamedCompletion(response, id, chat.model)
            : new BufferedCompletion(response, id, chat.model);
        this.scheduler.submit({
            id,
            tokens,
            prefixHashes: computePrefixHashes(prompt),
            priority: Number(request.headers["x-priority"] ?? 5),
            emit: token => writer.emit(token),
            finish: () => {
                this.finishedCount++;
                writer.finish();
            },
        });
    }

    private recordSample(): void {
        const now = performance.now();
        this.samples.push({
            takenAt: now,
            running: this.scheduler.countRunning(),
            queued: this.scheduler.countQueued(),
            cachedPrefixes: this.cache.list(),
            cacheSequence: this.cache.sequence,
        });
        const lagMs = this.options.reportLagMs ?? 200;
        while (this.samples.length > 1 && now - this.samples[1].takenAt >= lagMs) {
            this.samples.shift();
        }
    }

    private describeState(): object {
        const sample = this.samples[0];
        return {
            incarnation: this.incarnation,
            models: this.models,
            fencing: this.fencing,
            running: sample?.running ?? 0,
            queued: sample?.queued ?? 0,
            ageMs: sample === undefined ? 0 : performance.now() - sample.takenAt,
            cachedPrefixes: sample?.cachedPrefixes ?? [],
            cacheSequence: sample?.cacheSequence ?? 0,
        };
    }
}

/** Collects the tokens and sends them in one JSON body. */
class BufferedCompletion {
    private text = "";

    constructor(
        private readonly response: ServerResponse,
        private readonly id: string,
        private readonly model: string,
    ) {}

    emit(token: string): void {
        this.text += token;
    }

    finish(): void {
        sendJson(this.response, 200, {
            id: this.id,
            object: "chat.completion",
            model: this.model,
            choices: [{ index: 0, message: { role: "assistant", content: this.text }, finish_reason: "stop" }],
        });
    }
}

/** Sends each token as a server-sent event. */
class StreamedCompletion {
    constructor(
        private readonly response: ServerResponse,
        private readonly id: string,
        private readonly model: string,
    ) {
        response.writeHead(200, { "content-type": "text/event-stream" });
    }

    emit(token: string): void {
        const event = {
            id: this.id,
            object: "chat.completion.chunk",
            model: this.model,
            choices: [{ index: 0, delta: { content: token } }],
        };
        this.response.write(`data: ${JSON.stringify(event)}\n\n`);
    }

    finish(): void {
        this.response.end("data: [DONE]\n\n");
    }
}
