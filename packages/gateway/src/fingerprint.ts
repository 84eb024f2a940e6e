import { createHash } from "node:crypto";

/** A request is refused after this many endpoints were lost while they ran it: two losses can be a coincidence. */
export const MAX_CRASHES = 3;

/** Computes a digest that identifies a request when it is sent again. */
export function computeFingerprint(account: string | undefined, method: string, path: string, body: Buffer): string {
    return createHash("sha256").update(JSON.stringify([account, method, path])).update(body).digest("hex");
}
