import { ProblemCode, RefusalError } from "@kumquathall/errors";
import { computePrefixHashes } from "@kumquathall/routing";
import { type AccountSpec, type HeaderField, type ServiceDefinition, ServiceKind } from "@kumquathall/types";
import { createHash } from "node:crypto";
import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { AccountIndex, AccountMatch } from "./accountIndex.js";
import type { AdmittedRequest } from "./dispatcher.js";
import { DEFAULT_KEY_HEADER, findIdempotencyKey, findRequestRule } from "./requestRule.js";

/** A caller's request with its resolved service and account. */
export interface CallerRequest {
    account: AccountSpec;
    request: AdmittedRequest;
}

const CHAT_PATH = "/v1/chat/completions";
const SERVICES_PREFIX = "/services/";
const DEADLINE_HEADER = "kumquathall-deadline-ms";
const MAX_HEADERS = 64;
/** Number of hexadecimal digest characters in a request's fingerprint. */
const FINGERPRINT_DIGEST_LENGTH = 32;
/** Request headers that are forwarded to plain services. Others, such as connection headers and keys, are dropped. */
const FORWARDED_HEADERS = [
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    DEFAULT_KEY_HEADER,
    "traceparent",
];

interface ChatBody {
    model: string;
    messages: { role: string; content: string }[];
    stream: boolean;
}

/** Finds accounts by the `Authorization: Bearer` header. Throws a {@link RefusalError} without a known key. */
export function authenticate(request: IncomingMessage, accounts: AccountIndex): AccountMatch[] {
    if (request.rawHeaders.length > MAX_HEADERS * 2) {
        throw new RefusalError(ProblemCode.BadRequest, `the request has more than ${MAX_HEADERS} headers`);
    }
    const match = /^Bearer (\S{1,512})$/.exec(request.headers.authorization ?? "");
    if (match === null) {
        throw new RefusalError(ProblemCode.Unauthorized, 'send your account\'s key as "Authorization: Bearer KEY"');
    }
    const matches = accounts.findMatches(match[1]);
    if (matches.length === 0) {
        throw new RefusalError(ProblemCode.Unauthorized, "no account has this key");
    }
    return matches;
}

/** Resolves a request to a service and the rule that applies to it. Throws a {@link RefusalError} if it is invalid. */
export function resolveRequest(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    matches: AccountMatch[],
): CallerRequest {
    const url = request.url ?? "/";
    const [path] = url.split("?", 1);
    if (path === CHAT_PATH) {
        return resolveChat(requestId, request, body, matches);
    }
    if (path.startsWith(SERVICES_PREFIX)) {
        return resolvePlain(requestId, request, body, matches, url);
    }
    throw new RefusalError(
        ProblemCode.NotFound,
        `unknown path; models are at ${CHAT_PATH}, services below ${SERVICES_PREFIX}NAME/`,
    );
}

function resolveChat(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    matches: AccountMatch[],
): CallerRequest {
    if (request.method !== "POST") {
        throw new RefusalError(ProblemCode.BadRequest, `${CHAT_PATH} only accepts POST`);
    }
    const chat = parseChat(body);
    const match = matches.find(item =>
        item.service.kind === ServiceKind.Model && item.service.models.some(model => model.name === chat.model)
    );
    if (match === undefined) {
        throw new RefusalError(ProblemCode.UnknownModel, `no service of this account serves model "${chat.model}"`);
    }
    const prompt = chat.messages.map(message => message.content).join("\n");
    const headers = [{ name: "content-type", value: "application/json" }];
    const admitted = buildRequest(requestId, request, body, match, CHAT_PATH, headers);
    return {
        account: match.account,
        request: { ...admitted, isStream: chat.stream, prefixHashes: computePrefixHashes(prompt) },
    };
}

function parseChat(body: Buffer): ChatBody {
    let parsed: Partial<ChatBody>;
    try {
        parsed = JSON.parse(body.toString("utf8")) as Partial<ChatBody>;
    }
    catch {
        throw new RefusalError(ProblemCode.BadRequest, "the body is not JSON");
    }
    if (typeof parsed !== "object" || parsed === null || typeof parsed.model !== "string") {
        throw new RefusalError(ProblemCode.BadRequest, "/model: must be a string");
    }
    if (!Array.isArray(parsed.messages) || !parsed.messages.every(message => typeof message?.content === "string")) {
        throw new RefusalError(ProblemCode.BadRequest, '/messages: must be a list of objects with a string "content"');
    }
    return { model: parsed.model, messages: parsed.messages, stream: parsed.stream === true };
}

function resolvePlain(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    matches: AccountMatch[],
    url: string,
): CallerRequest {
    const rest = url.slice(SERVICES_PREFIX.length);
    const slash = rest.indexOf("/");
    const name = slash < 0 ? rest : rest.slice(0, slash);
    const match = matches.find(item => item.service.service === name && item.service.kind === ServiceKind.Plain);
    if (match === undefined) {
        throw new RefusalError(ProblemCode.UnknownService, `this account has no service "${name}"`);
    }
    const target = slash < 0 ? "/" : rest.slice(slash);
    if (hasParentSegment(target)) {
        throw new RefusalError(ProblemCode.BadRequest, 'the path may not contain ".."');
    }
    const admitted = buildRequest(requestId, request, body, match, target, selectHeaders(request.headers));
    return { account: match.account, request: admitted };
}

/** Whether a path has a `..` segment, literal or percent-encoded. */
function hasParentSegment(target: string): boolean {
    return target.split(/[/?#\\]|%2f|%5c/i).some(segment => segment.replaceAll(/%2e/gi, ".") === "..");
}

function buildRequest(
    requestId: string,
    request: IncomingMessage,
    body: Buffer,
    match: AccountMatch,
    path: string,
    headers: HeaderField[],
): AdmittedRequest {
    const { service, account } = match;
    const method = request.method ?? "GET";
    const rule = findRequestRule(service, method, path.split("?", 1)[0]);
    const ledgerKey = rule.repeatable ? undefined : findLedgerKey(service, account, rule, request.headers, body);
    const digest = createHash("sha256").update(`${method} ${path}\n`).update(body).digest("hex");
    return {
        requestId,
        service,
        method,
        path,
        headers,
        body,
        isStream: false,
        isRepeatable: rule.repeatable,
        ledgerKey,
        digest,
        fingerprint: `${service.institution}/${service.service}:${digest.slice(0, FINGERPRINT_DIGEST_LENGTH)}`,
        prefixHashes: [],
        priority: account.priority,
        deadline: performance.now() + readDeadlineMs(request.headers, service),
    };
}

function findLedgerKey(
    service: ServiceDefinition,
    account: AccountSpec,
    rule: ReturnType<typeof findRequestRule>,
    headers: IncomingHttpHeaders,
    body: Buffer,
): string {
    const key = findIdempotencyKey(rule, headers, body);
    if (key === undefined) {
        const keyLocation = rule.key?.bodyField === undefined
            ? `header "${rule.key?.header ?? DEFAULT_KEY_HEADER}"`
            : `body field "${rule.key.bodyField}"`;
        throw new RefusalError(
            ProblemCode.KeyMissing,
            `${rule.method} ${rule.path} is not repeatable: send a unique idempotency key in the ${keyLocation}`,
        );
    }
    return `${service.institution}/${service.service}/${account.name}/${key}`;
}

function readDeadlineMs(headers: IncomingHttpHeaders, service: ServiceDefinition): number {
    const value = headers[DEADLINE_HEADER];
    if (value === undefined) {
        return service.deadlineMs;
    }
    const deadlineMs = Number(value);
    if (!Number.isInteger(deadlineMs) || deadlineMs <= 0) {
        throw new RefusalError(
            ProblemCode.BadRequest,
            `header "${DEADLINE_HEADER}": must be a whole number of milliseconds greater than 0`,
        );
    }
    return Math.min(deadlineMs, service.deadlineMs);
}

function selectHeaders(headers: IncomingHttpHeaders): HeaderField[] {
    return FORWARDED_HEADERS.flatMap(name => {
        const value = headers[name];
        return typeof value === "string" ? [{ name, value }] : [];
    });
}
