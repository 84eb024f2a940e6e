import { createHash } from "node:crypto";

/** Computes a digest that identifies a request when it is sent again. */
export function computeFingerprint(account: string | undefined, method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(JSON.stringify([account, method, path])).update(body).digest("hex");
}
