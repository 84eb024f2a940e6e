import { Pool } from "undici";
import { isExpectedAnswer } from "./checkAnswer.js";
import { LatencyRecorder, type LatencySummary } from "./latency.js";
import type { PlannedRequest } from "./workload.js";

export interface LoadOptions {
    /** URLs of entries or engines, used in turn. */
    urls: string[];
    /** API key of the client account. */
    key: string;
    model: string;
    /** Name of the plain service that orders go to. */
    orderService?: string;
    requests: PlannedRequest[];
    /** Maximum number of connections to each URL. */
    connections?: number;
    timeoutMs?: number;
}

/**
 * Outcomes and latencies of one run. Latencies are in milliseconds; `firstToken` and `total` are measured from the
 * planned arrival of a request.
 */
export interface LoadResult {
    sent: number;
    complete: number;
    /** Refusals with the outcome `not-run`. */
    notRun: number;
    /** Other refusals, and streams that contain an error event. */
    unknown: number;
    /** Answers without an error that differ from the one that the stand-in computes. */
    wrong: number;
    /** Requests that a connection error or a timeout ended. */
    lost: number;
    codes: { code: string; count: number }[];
    firstToken: LatencySummary;
    betweenTokens: LatencySummary;
    total: LatencySummary;
    /** Responses with a success status in each second of the run. */
    completedPerSecond: number[];
    /** Complete answers per second. */
    ratePerSecond: number;
    /** Encoded histograms, from which the summaries of several runs are merged. */
    histograms: { firstToken: string; betweenTokens: string; total: string };
}

export type { LatencySummary };

interface RunState {
    result: LoadResult;
    codes: Map<string, number>;
    firstToken: LatencyRecorder;
    betweenTokens: LatencyRecorder;
    total: LatencyRecorder;
    startedAt: number;
}

const DEFAULT_CONNECTIONS = 128;
const DEFAULT_TIMEOUT_MS = 60_000;

/** Runs an open-loop load: sends each request at its planned time, regardless of earlier ones. Checks every answer. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const poolOptions = {
        connections: options.connections ?? DEFAULT_CONNECTIONS,
        pipelining: 1,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
    };
    const pools = options.urls.map(url => new Pool(url, poolOptions));
    const state = createState();
    await sendAll(options, pools, state);
    await Promise.all(pools.map(pool => pool.destroy()));
    const elapsedMs = performance.now() - state.startedAt;
    return {
        ...state.result,
        codes: [...state.codes].map(([code, count]) => ({ code, count })).sort((left, right) =>
            right.count - left.count
        ),
        firstToken: state.firstToken.describe(),
        betweenTokens: state.betweenTokens.describe(),
        total: state.total.describe(),
        ratePerSecond: state.result.complete / elapsedMs * 1000,
        histograms: {
            firstToken: state.firstToken.encode(),
            betweenTokens: state.betweenTokens.encode(),
            total: state.total.encode(),
        },
    };
}

function createState(): RunState {
    const empty = { count: 0, p50: 0, p95: 0, p99: 0, max: 0 };
    return {
        result: {
            sent: 0,
            complete: 0,
            notRun: 0,
            unknown: 0,
            wrong: 0,
            lost: 0,
            codes: [],
            firstToken: empty,
            betweenTokens: empty,
            total: empty,
            completedPerSecond: [],
            ratePerSecond: 0,
            histograms: { firstToken: "", betweenTokens: "", total: "" },
        },
        codes: new Map(),
        firstToken: new LatencyRecorder(),
        betweenTokens: new LatencyRecorder(),
        total: new LatencyRecorder(),
        startedAt: performance.now(),
    };
}

/** Starts each request at its planned time; resolves when all have ended. */
async function sendAll(options: LoadOptions, pools: Pool[], state: RunState): Promise<void> {
    const running: Promise<void>[] = [];
    let next = 0;
    while (next < options.requests.length) {
        const now = performance.now() - state.startedAt;
        while (next < options.requests.length && options.requests[next].atMs <= now) {
            running.push(sendAndCount(options, pools[next % pools.length], options.requests[next], state));
            next++;
        }
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    await Promise.all(running);
}

async function sendAndCount(options: LoadOptions, pool: Pool, request: PlannedRequest, state: RunState): Promise<void> {
    state.result.sent++;
    try {
        await sendOne(options, pool, request, state);
    }
    catch {
        state.result.lost++;
    }
}

async function sendOne(options: LoadOptions, pool: Pool, request: PlannedRequest, state: RunState): Promise<void> {
    const plannedAt = state.startedAt + request.atMs;
    const response = await pool.request({ method: "POST", ...buildHttpRequest(options, request) });
    const chunks: Buffer[] = [];
    let lastAt: number | undefined;
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
        const now = performance.now();
        (lastAt === undefined ? state.firstToken : state.betweenTokens).record(now - (lastAt ?? plannedAt));
        lastAt = now;
        chunks.push(chunk);
    }
    const now = performance.now();
    const body = Buffer.concat(chunks).toString("utf8");
    countAnswer(request, response.statusCode, response.headers, body, state);
    if (response.statusCode < 300) {
        state.total.record(now - plannedAt);
        const second = Math.floor((now - state.startedAt) / 1000);
        state.result.completedPerSecond[second] = (state.result.completedPerSecond[second] ?? 0) + 1;
    }
}

function buildHttpRequest(
    options: LoadOptions,
    request: PlannedRequest,
): { path: string; headers: Record<string, string>; body: string } {
    const headers: Record<string, string> = {
        "authorization": `Bearer ${options.key}`,
        "content-type": "application/json",
    };
    if (request.kind === "order") {
        return {
            path: `/services/${options.orderService ?? "orders"}/orders`,
            headers: { ...headers, "idempotency-key": request.orderId },
            body: JSON.stringify({ orderId: request.orderId }),
        };
    }
    const { prompt, maxTokens, isStream } = request;
    const body = JSON.stringify({
        model: options.model,
        messages: [{ role: "user", content: prompt }],
        max_tokens: maxTokens,
        stream: isStream,
    });
    return { path: "/v1/chat/completions", headers, body };
}

function countAnswer(
    request: PlannedRequest,
    status: number,
    headers: Record<string, string | string[] | undefined>,
    body: string,
    state: RunState,
): void {
    const { result } = state;
    if (status < 300) {
        const hasError = body.includes("event: error");
        if (hasError) {
            result.unknown++;
            return;
        }
        result[isExpectedAnswer(request, body) ? "complete" : "wrong"]++;
        return;
    }
    const outcome = headers["kumquathall-outcome"];
    result[outcome === "not-run" ? "notRun" : "unknown"]++;
    const code = parseCode(body) ?? String(status);
    state.codes.set(code, (state.codes.get(code) ?? 0) + 1);
}

function parseCode(body: string): string | undefined {
    try {
        return (JSON.parse(body) as { code?: string }).code;
    }
    catch {
        return undefined;
    }
}
