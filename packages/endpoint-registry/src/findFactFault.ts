import { EngineGroupState, type EngineStatus } from "@kumquathall/types";
import { isIPv4, isIPv6 } from "node:net";

/** Bounds of the fields of facts. */
export const FactLimits = {
    /** Characters of an id, a name or a fabric domain. */
    MaxNameLength: 256,
    /** Models in one list. */
    MaxModels: 256,
    /** Requests, slots and tokens; far above what an engine reports. */
    MaxCount: 1e12,
    /** Members of a replica group. */
    MaxRank: 65_535,
    /** Factor by which an engine is slower than its profile. */
    MaxPace: 1e6,
    /** Longest time for which an endpoint can be cold, in milliseconds; a longer one is a mistake. */
    MaxColdMs: 600_000,
    /** Year 2100, in Unix milliseconds: a time in smaller units lies beyond. */
    MaxTimeMs: Date.UTC(2100),
} as const;

/** An id is sent in headers: printable ASCII without spaces. */
const ID_PATTERN = /^[\x21-\x7e]+$/;
/** Control characters, and halves of characters outside the basic plane: no encoder carries these. */
const UNPRINTABLE_PATTERN = /[\p{Cc}\p{Cs}]/u;
/** What nearly all names are; much faster to test. */
const ASCII_PATTERN = /^[\x20-\x7e]*$/;
const PORT_PATTERN = /^[1-9][0-9]{0,4}$/;
const MAX_PORT = 65_535;
const GROUP_STATES = new Set<unknown>(Object.values(EngineGroupState));

/** Returns what makes a fact about an endpoint unusable, as its field and the reason; `undefined` if it can be used. */
export function findFactFault(fact: unknown): string | undefined {
    if (!isRecord(fact)) {
        return "the fact is not an object";
    }
    switch (fact.kind) {
        case "heartbeat":
            return findHeartbeatFault(fact);
        case "departure":
            return findIdFault(fact.id) ?? findTimeFault("bornMs", fact.bornMs);
        case "observation":
            return findObservationFault(fact);
        default:
            return "kind is unknown";
    }
}

/** Whether connections can be made to an address: an IP address or a host name as URLs write it, and a port. */
export function isEndpointAddress(text: string): boolean {
    return isSocketAddress(text) || isHostAddress(text);
}

/** Whether a text is an IP address and a port from 1 to 65535. */
export function isSocketAddress(text: string): boolean {
    const { host, port } = parseHostAndPort(text);
    return isPort(port) && (isIPv4(host) || isBracketedIPv6(host));
}

/** Whether a text can name a service, a model, a group, a data centre or a fabric domain. */
export function isFactName(text: string): boolean {
    return text.length <= FactLimits.MaxNameLength && (ASCII_PATTERN.test(text) || !UNPRINTABLE_PATTERN.test(text));
}

/** Whether a text is an id of an endpoint. */
export function isEndpointId(text: string): boolean {
    return text.length <= FactLimits.MaxNameLength && ID_PATTERN.test(text);
}

/** The URL parser must leave the name as it is: it reads "0x7f.1" as an address, and splits off paths and accounts. */
function isHostAddress(text: string): boolean {
    const { host, port } = parseHostAndPort(text);
    return isPort(port) && URL.canParse(`http://${text}`) && new URL(`http://${text}`).hostname === host;
}

function parseHostAndPort(text: string): { host: string; port: string } {
    const at = text.lastIndexOf(":");
    return { host: text.slice(0, Math.max(0, at)), port: text.slice(at + 1) };
}

function isPort(text: string): boolean {
    return PORT_PATTERN.test(text) && Number(text) <= MAX_PORT;
}

/** In the form that URLs have, so that one address has one spelling. */
function isBracketedIPv6(host: string): boolean {
    return host.startsWith("[") && isIPv6(host.slice(1, -1)) && URL.canParse(`http://${host}`)
        && new URL(`http://${host}`).hostname === host;
}

function findHeartbeatFault(fact: Record<string, unknown>): string | undefined {
    return findIdFault(fact.id)
        ?? findNameFault("service", fact.service, 1)
        ?? findAddressFault(fact.address)
        ?? findNameFault("dataCentre", fact.dataCentre)
        ?? findCountFault("slots", fact.slots)
        ?? findFlagFault("isLeaving", fact.isLeaving)
        ?? findTimeFault("bornMs", fact.bornMs)
        ?? findSequenceFault("sequence", fact.sequence)
        ?? findEngineFault(fact.engine, true)
        ?? findColdTimeFault(fact.coldMs);
}

function findObservationFault(fact: Record<string, unknown>): string | undefined {
    return findAddressFault(fact.address)
        ?? findTimeFault("observerStartedMs", fact.observerStartedMs)
        ?? findSequenceFault("number", fact.number)
        ?? findFlagFault("isReachable", fact.isReachable)
        ?? findTimeFault("bornMs", fact.bornMs)
        ?? findEngineFault(fact.engine, false)
        ?? findColdTimeFault(fact.coldMs);
}

function findColdTimeFault(value: unknown): string | undefined {
    return value === undefined ? undefined : findRangeFault("coldMs", value, FactLimits.MaxColdMs, Number.isFinite);
}

/** Heartbeats carry no order sequence (NaN). */
function findEngineFault(value: unknown, isHeartbeat: boolean): string | undefined {
    if (value === undefined) {
        return undefined;
    }
    if (!isRecord(value)) {
        return "engine is not an object";
    }
    const engine = value as Partial<Record<keyof EngineStatus, unknown>>;
    const sequenceFault = isHeartbeat && Number.isNaN(engine.orderSequence)
        ? undefined
        : findSequenceFault("engine.orderSequence", engine.orderSequence);
    return sequenceFault
        ?? findFlagFault("engine.isBusy", engine.isBusy)
        ?? findCountFault("engine.running", engine.running)
        ?? findCountFault("engine.waiting", engine.waiting)
        ?? findCountFault("engine.kvUsedTokens", engine.kvUsedTokens)
        ?? findCountFault("engine.kvTotalTokens", engine.kvTotalTokens)
        ?? findPaceFault(engine.pace)
        ?? findNamesFault("engine.models", engine.models)
        ?? findNamesFault("engine.staged", engine.staged)
        ?? findNameFault("engine.fabricDomain", engine.fabricDomain)
        ?? findGroupFault(engine.group);
}

function findGroupFault(group: unknown): string | undefined {
    if (group === undefined) {
        return undefined;
    }
    if (!isRecord(group)) {
        return "engine.group is not an object";
    }
    return findNameFault("engine.group.name", group.name)
        ?? findSequenceFault("engine.group.epoch", group.epoch)
        ?? findRangeFault("engine.group.rank", group.rank, FactLimits.MaxRank, Number.isInteger)
        ?? (GROUP_STATES.has(group.state) ? undefined : "engine.group.state is unknown");
}

function findIdFault(value: unknown): string | undefined {
    return typeof value === "string" && isEndpointId(value)
        ? undefined
        : "id is not printable ASCII of 1 to 256 characters";
}

function findAddressFault(value: unknown): string | undefined {
    return typeof value === "string" && isEndpointAddress(value)
        ? undefined
        : "address is not a host and a port from 1 to 65535";
}

function findNameFault(field: string, value: unknown, minLength = 0): string | undefined {
    return isName(value) && value.length >= minLength ? undefined : `${field} is not a name of up to 256 characters`;
}

function findNamesFault(field: string, value: unknown): string | undefined {
    return Array.isArray(value) && value.length <= FactLimits.MaxModels && value.every(isName)
        ? undefined
        : `${field} is not a list of up to 256 names`;
}

function findFlagFault(field: string, value: unknown): string | undefined {
    return typeof value === "boolean" ? undefined : `${field} is not true or false`;
}

function findCountFault(field: string, value: unknown): string | undefined {
    return findRangeFault(field, value, FactLimits.MaxCount, Number.isFinite);
}

function findTimeFault(field: string, value: unknown): string | undefined {
    return findRangeFault(field, value, FactLimits.MaxTimeMs, Number.isSafeInteger);
}

function findSequenceFault(field: string, value: unknown): string | undefined {
    return findRangeFault(field, value, Number.MAX_SAFE_INTEGER, Number.isSafeInteger);
}

function findPaceFault(value: unknown): string | undefined {
    return findRangeFault("engine.pace", value, FactLimits.MaxPace, Number.isFinite)
        ?? (value === 0 ? "engine.pace is 0" : undefined);
}

function findRangeFault(
    field: string,
    value: unknown,
    max: number,
    isNumber: (value: number) => boolean,
): string | undefined {
    return typeof value === "number" && isNumber(value) && value >= 0 && value <= max
        ? undefined
        : `${field} is not a number from 0 to ${max}`;
}

function isName(value: unknown): value is string {
    return typeof value === "string" && isFactName(value);
}

function isRecord(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}
