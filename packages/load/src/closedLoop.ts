import { Pool } from "undici";

export interface ClosedLoopOptions {
    url: string;
    key: string;
    model: string;
    /** Requests in flight at all times. */
    concurrency: number;
    durationMs: number;
}

/** Completed short requests a second with a fixed number in flight: the most that a path carries. */
export async function measureClosedLoopThroughput(options: ClosedLoopOptions): Promise<number> {
    const pool = new Pool(options.url, { connections: options.concurrency, pipelining: 1 });
    const until = performance.now() + options.durationMs;
    let complete = 0;
    const body = JSON.stringify({
        model: options.model,
        messages: [{ role: "user", content: "saturation" }],
        max_tokens: 4,
    });
    const headers = { "authorization": `Bearer ${options.key}`, "content-type": "application/json" };
    const runLane = async () => {
        while (performance.now() < until) {
            const response = await pool.request({ method: "POST", path: "/v1/chat/completions", headers, body });
            await response.body.dump();
            complete += response.statusCode === 200 ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: options.concurrency }, runLane));
    await pool.destroy();
    return complete / options.durationMs * 1000;
}
