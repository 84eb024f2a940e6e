import { KumquathallError } from "@kumquathall/errors";

const POLL_INTERVAL_MS = 50;

/** Polls a condition until it holds. Rejects after `timeoutMs`. */
export async function waitUntil(
    description: string,
    timeoutMs: number,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const deadline = performance.now() + timeoutMs;
    while (performance.now() < deadline) {
        if (await check()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
    throw new KumquathallError(`${description}: timed out after ${timeoutMs} ms`);
}
