import type { AuditRecord, CommandResult, ConfigurationValue, TrafficConfiguration } from "@kumquathall/types";
import type { VersionedEntry } from "@kumquathall/versioned-map";
import { Encoder } from "cbor-x";
import { List, Map as ImmutableMap } from "immutable";
import type { ControlState, LedgerEntry } from "./state.js";
import { listTrafficEntries } from "./trafficEntries.js";

/** One part of an encoded state: the scalars once, and the items of each collection in slices. */
type StatePart =
    | { kind: "scalars"; revision: number; safePoint: number; ledgerTimeMs: number; lastAt: number }
    | { kind: "configuration"; items: [string, VersionedEntry<ConfigurationValue>][] }
    | { kind: "trafficDocument"; document: string | undefined }
    | { kind: "ledger"; items: [string, LedgerEntry][] }
    | { kind: "changes"; items: [string, CommandResult][] }
    | { kind: "audit"; items: AuditRecord[] }
    | { kind: "groupDowntimeMs"; items: [string, number][] }
    | { kind: "strandedAcceleratorMs"; items: [string, number][] };

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });
/** Items encoded without yielding to the event loop: a fraction of a millisecond of work. */
const SLICE_ITEMS = 250;
const LENGTH_BYTES = 4;

/** Encodes the whole state at once. */
export function encodeState(state: ControlState): Uint8Array {
    return Buffer.concat([...listEncodedParts(state)]);
}

/**
 * Encodes the state in slices and yields to the event loop in between, since a leader that blocks for longer than an
 * election timeout loses leadership. The state is immutable, so the result is the state at the time of the call.
 */
export async function encodeStateInSlices(state: ControlState): Promise<Uint8Array> {
    const parts: Buffer[] = [];
    for (const part of listEncodedParts(state)) {
        parts.push(part);
        await new Promise(resolve => setImmediate(resolve));
    }
    return Buffer.concat(parts);
}

/** Decodes a state written by {@link encodeState} or {@link encodeStateInSlices}. */
export function decodeState(data: Uint8Array): ControlState {
    const parts = [...listDecodedParts(Buffer.from(data.buffer, data.byteOffset, data.byteLength))];
    const collect = <Item>(kind: StatePart["kind"]) =>
        parts.flatMap(part => part.kind === kind && "items" in part ? part.items as Item[] : []);
    const scalars = parts.find(part => part.kind === "scalars");
    const document = parts.find(part => part.kind === "trafficDocument")?.document;
    const stored = collect<[string, VersionedEntry<ConfigurationValue>]>("configuration");
    return {
        configuration: {
            revision: scalars?.revision ?? 0,
            safePoint: scalars?.safePoint ?? 0,
            entries: ImmutableMap(stored.flatMap(listStoredEntries)),
        },
        trafficDocument: document ?? findWholeTraffic(stored)?.document,
        ledger: ImmutableMap(collect<[string, LedgerEntry]>("ledger")),
        ledgerTimeMs: scalars?.ledgerTimeMs ?? 0,
        changes: ImmutableMap(collect<[string, CommandResult]>("changes")),
        audit: List(collect<AuditRecord>("audit")),
        metricTotals: {
            lastAt: scalars?.lastAt ?? 0,
            groupDowntimeMs: ImmutableMap(collect<[string, number]>("groupDowntimeMs")),
            strandedAcceleratorMs: ImmutableMap(collect<[string, number]>("strandedAcceleratorMs")),
        },
    };
}

function* listEncodedParts(state: ControlState): Generator<Buffer> {
    const { configuration, metricTotals } = state;
    yield encodePart({
        kind: "scalars",
        revision: configuration.revision,
        safePoint: configuration.safePoint,
        ledgerTimeMs: state.ledgerTimeMs,
        lastAt: metricTotals.lastAt,
    });
    for (const items of listSlices(configuration.entries)) {
        yield encodePart({ kind: "configuration", items });
    }
    yield encodePart({ kind: "trafficDocument", document: state.trafficDocument });
    for (const items of listSlices(state.ledger)) {
        yield encodePart({ kind: "ledger", items });
    }
    for (const items of listSlices(state.changes)) {
        yield encodePart({ kind: "changes", items });
    }
    for (const items of listSlices(state.audit)) {
        yield encodePart({ kind: "audit", items });
    }
    yield encodePart({ kind: "groupDowntimeMs", items: [...metricTotals.groupDowntimeMs] });
    yield encodePart({ kind: "strandedAcceleratorMs", items: [...metricTotals.strandedAcceleratorMs] });
}

function* listSlices<Item>(items: Iterable<Item>): Generator<Item[]> {
    let slice: Item[] = [];
    for (const item of items) {
        slice.push(item);
        if (slice.length === SLICE_ITEMS) {
            yield slice;
            slice = [];
        }
    }
    if (slice.length > 0) {
        yield slice;
    }
}

function encodePart(part: StatePart): Buffer {
    const body = codec.encode(part);
    const framed = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
    framed.writeUInt32BE(body.length, 0);
    body.copy(framed, LENGTH_BYTES);
    return framed;
}

function* listDecodedParts(data: Buffer): Generator<StatePart> {
    let offset = 0;
    while (offset < data.length) {
        const end = offset + LENGTH_BYTES + data.readUInt32BE(offset);
        yield codec.decode(data.subarray(offset + LENGTH_BYTES, end)) as StatePart;
        offset = end;
    }
}

/** Traffic configuration in one entry with its document, as snapshots held it before its routes had entries. */
interface WholeTraffic {
    traffic: TrafficConfiguration;
    document: string;
}

function listStoredEntries(
    [key, entry]: [string, VersionedEntry<ConfigurationValue>],
): [string, VersionedEntry<ConfigurationValue>][] {
    const whole = getWholeTraffic(entry);
    return whole === undefined
        ? [[key, entry]]
        : [...listTrafficEntries(whole.traffic)].map(([part, value]) => [part, { revision: entry.revision, value }]);
}

function findWholeTraffic(stored: [string, VersionedEntry<ConfigurationValue>][]): WholeTraffic | undefined {
    return stored.flatMap(([, entry]) => getWholeTraffic(entry) ?? [])[0];
}

function getWholeTraffic(entry: VersionedEntry<ConfigurationValue>): WholeTraffic | undefined {
    const { value } = entry;
    return value?.kind === "traffic" && "document" in value ? value as unknown as WholeTraffic : undefined;
}
