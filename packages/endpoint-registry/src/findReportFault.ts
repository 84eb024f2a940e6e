import { AttemptStage, QuarantineSubject } from "@kumquathall/types";
import { FactLimits, isFactName } from "./findFactFault.js";

/** Requests and prompt parts in one report. */
const MAX_ITEMS = 4096;
/** Longest age that a report may state, in milliseconds. */
const MAX_AGE_MS = 24 * 60 * 60 * 1000;
/** Characters of a prompt part's id, which a caller's header holds. */
const MAX_TEXT_LENGTH = 65_536;
const STAGES = new Set<unknown>(Object.values(AttemptStage));
const SUBJECTS = new Set<unknown>(Object.values(QuarantineSubject));

/** Returns what makes a report about an endpoint's limit unusable; `undefined` if it can be used. */
export function findLimitFault(value: unknown): string | undefined {
    if (!isRecord(value)) {
        return "the report is not an object";
    }
    return findKeyFault("endpoint", value.endpoint)
        ?? (value.perSecond === undefined || isRate(value.perSecond) ? undefined : "perSecond is not a rate")
        ?? findAgeFault(value.ageMs);
}

/** Returns what makes a report about a cold endpoint unusable; `undefined` if it can be used. */
export function findColdFault(value: unknown): string | undefined {
    if (!isRecord(value)) {
        return "the report is not an object";
    }
    const { coldMs } = value;
    const isTime = typeof coldMs === "number" && coldMs >= 0 && coldMs <= FactLimits.MaxColdMs;
    return findKeyFault("endpoint", value.endpoint)
        ?? (isTime ? undefined : "coldMs is not a time")
        ?? findAgeFault(value.ageMs);
}

/** Returns what makes a want of permits unusable; `undefined` if it can be used. */
export function findWantFault(value: unknown): string | undefined {
    const fault = findLimitFault(value);
    if (fault !== undefined || !isRecord(value)) {
        return fault;
    }
    const { count, cold } = value;
    if (!Number.isSafeInteger(count)) {
        return "count is not a whole number";
    }
    const isCold = isRecord(cold) && isRate(cold.perSecond) && cold.perSecond !== 0 && isRate(cold.maxInSecond)
        && isRate(cold.sent);
    return cold === undefined || isCold ? undefined : "cold has no rate above 0, bound and number of requests";
}

/** Returns what makes a report about a crash or a survival unusable; `undefined` if it can be used. */
export function findCrashFault(value: unknown): string | undefined {
    if (!isRecord(value)) {
        return "the report is not an object";
    }
    if (value.kind === "survival") {
        return (SUBJECTS.has(value.subject) ? undefined : "subject is unknown")
            ?? (isText(value.id) ? undefined : "id is not a text")
            ?? findAgeFault(value.ageMs);
    }
    if (value.kind !== "crash") {
        return "kind is unknown";
    }
    return findKeyFault("endpoint", value.endpoint)
        ?? findKeyFault("service", value.service)
        ?? findKeyFault("reporter", value.reporter)
        ?? findAgeFault(value.ageMs)
        ?? (isListOf(value.requests, isCrashedRequest) ? undefined : "requests is not a list of crashed requests");
}

function isCrashedRequest(value: unknown): boolean {
    return isRecord(value) && isText(value.fingerprint) && isListOf(value.parts, isText) && STAGES.has(value.stage)
        && Number.isFinite(value.sentBeforeMs);
}

function findKeyFault(field: string, value: unknown): string | undefined {
    return isKey(value) ? undefined : `${field} is not a name`;
}

/** An id, or an id with a start time. */
function isKey(value: unknown): boolean {
    const { MaxNameLength } = FactLimits;
    return typeof value === "string" && value.length > 0 && value.length <= 2 * MaxNameLength
        && isFactName(value.slice(0, MaxNameLength)) && isFactName(value.slice(MaxNameLength));
}

/** Ages are differences of clock readings and may be just below 0. */
function findAgeFault(value: unknown): string | undefined {
    return typeof value === "number" && Math.abs(value) <= MAX_AGE_MS ? undefined : "ageMs is not a time within a day";
}

function isRate(value: unknown): boolean {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** What callers have sent in headers, or a digest of it. */
function isText(value: unknown): boolean {
    return typeof value === "string" && value.length <= MAX_TEXT_LENGTH;
}

function isListOf(value: unknown, isItem: (item: unknown) => boolean): boolean {
    return Array.isArray(value) && value.length <= MAX_ITEMS && value.every(isItem);
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
