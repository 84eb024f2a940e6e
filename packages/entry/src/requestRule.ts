import type { RequestRule, ServiceDefinition } from "@kumquathall/types";
import type { IncomingHttpHeaders } from "node:http";

/** Header that carries the idempotency key unless the service declares another header or body field. */
export const DEFAULT_KEY_HEADER = "idempotency-key";
const MAX_KEY_LENGTH = 200;

/**
 * Finds the rule for a request: the one with the longest matching path. Without a match, only GET and HEAD requests and
 * requests to models are repeatable.
 */
export function findRequestRule(service: ServiceDefinition, method: string, path: string): RequestRule {
    let best: RequestRule | undefined;
    for (const rule of service.requests) {
        const isMatch = rule.method === method
            && (path === rule.path || path.startsWith(rule.path.endsWith("/") ? rule.path : `${rule.path}/`));
        if (isMatch && (best === undefined || rule.path.length > best.path.length)) {
            best = rule;
        }
    }
    return best ?? { method, path, repeatable: method === "GET" || method === "HEAD" || service.kind === "model" };
}

/** Reads the idempotency key from its header or body field. `undefined` if it is missing, empty or too long. */
export function findIdempotencyKey(
    rule: RequestRule,
    headers: IncomingHttpHeaders,
    body: Uint8Array,
): string | undefined {
    const bodyField = rule.key?.bodyField;
    const value = bodyField === undefined
        ? headers[(rule.key?.header ?? DEFAULT_KEY_HEADER).toLowerCase()]
        : readField(body, bodyField);
    return typeof value === "string" && value.length > 0 && value.length <= MAX_KEY_LENGTH ? value : undefined;
}

function readField(body: Uint8Array, pointer: string): unknown {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        return undefined;
    }
    for (const segment of pointer.split("/").slice(1)) {
        if (typeof value !== "object" || value === null) {
            return undefined;
        }
        value = (value as Record<string, unknown>)[segment];
    }
    return value;
}
