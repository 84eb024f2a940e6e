import { Pool } from "undici";

export interface ClosedLoopOptions {
    url: string;
    key: string;
    model: string;
    /** Number of requests in flight. */
    concurrency: number;
    durationMs: number;
}

/**
 * Keeps a fixed number of short requests in flight. Returns the completed requests per second: with enough requests in
 * flight, the highest throughput of the path.
 */
export async function measureClosedLoopThroughput(options: ClosedLoopOptions): Promise<number> {
    const pool = new Pool(options.url, { connections: options.concurrency, pipelining: 1 });
    const endsAt = performance.now() + options.durationMs;
    let complete = 0;
    const body = JSON.stringify({
        model: options.model,
        messages: [{ role: "user", content: "saturation" }],
        max_tokens: 4,
    });
    const headers = { "authorization": `Bearer ${options.key}`, "content-type": "application/json" };
    const sendRepeatedly = async () => {
        while (performance.now() < endsAt) {
            const response = await pool.request({ method: "POST", path: "/v1/chat/completions", headers, body });
            await response.body.dump();
            complete += response.statusCode === 200 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, sendRepeatedly));
    await pool.destroy();
    return complete / options.durationMs * 1000;
}
