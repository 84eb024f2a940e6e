/** Requests per second that 1,000 gateways could offer at most. */
const MAX_REQUESTS_PER_SECOND = 1_000_000;
/** The same in endpoint-milliseconds per second, at one minute of endpoint time for each request. */
const MAX_WORK_MS_PER_SECOND = MAX_REQUESTS_PER_SECOND * 60_000;
/** More than the models of all services that a report can be about. */
const MAX_ITEMS = 256;
const MAX_NAME_LENGTH = 256;
/** A gateway reports once per second; one whose process was stalled reports a longer interval. */
const MAX_INTERVAL_MS = 60_000;
const MS_PER_SECOND = 1000;

/** Returns what makes a `modelDemand` message unusable; `undefined` if it can be used. */
export function findDemandFault(value: unknown): string | undefined {
    if (!isRecord(value)) {
        return "the report is not an object";
    }
    const { items, intervalMs } = value;
    if (!isAmount(intervalMs) || intervalMs <= 0 || intervalMs > MAX_INTERVAL_MS) {
        return "intervalMs is out of range";
    }
    if (!Array.isArray(items) || items.length > MAX_ITEMS) {
        return "items is not a list of at most 256";
    }
    for (const item of items) {
        const fault = findItemFault(item, intervalMs / MS_PER_SECOND);
        if (fault !== undefined) {
            return fault;
        }
    }
    return undefined;
}

function findItemFault(item: unknown, seconds: number): string | undefined {
    if (!isRecord(item)) {
        return "an item is not an object";
    }
    if (!isName(item.service) || !isName(item.model)) {
        return "service or model is not a name";
    }
    if (!isAmount(item.workMs) || item.workMs / seconds > MAX_WORK_MS_PER_SECOND) {
        return "workMs is out of range";
    }
    return !isAmount(item.requests) || item.requests / seconds > MAX_REQUESTS_PER_SECOND
        ? "requests is out of range"
        : undefined;
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null;
}

function isAmount(value: unknown): value is number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

function isName(value: unknown): boolean {
    return typeof value === "string" && value.length > 0 && value.length <= MAX_NAME_LENGTH;
}
