import { KumquathallError } from "@kumquathall/errors";

const POLL_MS = 50;

/** Polls a condition. Rejects when it does not hold within the time. */
export async function waitUntil(
    description: string,
    timeoutMs: number,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
        if (await check()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    throw new KumquathallError(`${description}: not within ${timeoutMs} ms`);
}
