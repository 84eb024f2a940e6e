import type { AuditRecord, CommandResult, ConfigurationValue } from "@kumquathall/types";
import type { VersionedEntry } from "@kumquathall/versioned-map";
import { Encoder } from "cbor-x";
import { List, Map as ImmutableMap } from "immutable";
import type { ControlState, LedgerEntry } from "./state.js";

const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

/** The state as plain data. */
interface EncodedState {
    revision: number;
    safePoint: number;
    configuration: [string, VersionedEntry<ConfigurationValue>][];
    ledger: [string, LedgerEntry][];
    ledgerTimeMs: number;
    changes: [string, CommandResult][];
    audit: AuditRecord[];
    lastAt: number;
    groupDowntimeMs: [string, number][];
    strandedAcceleratorMs: [string, number][];
}

/** Encodes the whole state for a snapshot. */
export function encodeState(state: ControlState): Uint8Array {
    const encoded: EncodedState = {
        revision: state.configuration.revision,
        safePoint: state.configuration.safePoint,
        configuration: [...state.configuration.entries],
        ledger: [...state.ledger],
        ledgerTimeMs: state.ledgerTimeMs,
        changes: [...state.changes],
        audit: state.audit.toArray(),
        lastAt: state.measures.lastAt,
        groupDowntimeMs: [...state.measures.groupDowntimeMs],
        strandedAcceleratorMs: [...state.measures.strandedAcceleratorMs],
    };
    return Uint8Array.from(codec.encode(encoded));
}

/** Decodes a state written by {@link encodeState}. */
export function decodeState(data: Uint8Array): ControlState {
    const encoded = codec.decode(data) as EncodedState;
    return {
        configuration: {
            revision: encoded.revision,
            safePoint: encoded.safePoint,
            entries: ImmutableMap(encoded.configuration),
        },
        ledger: ImmutableMap(encoded.ledger),
        ledgerTimeMs: encoded.ledgerTimeMs,
        changes: ImmutableMap(encoded.changes),
        audit: List(encoded.audit),
        measures: {
            lastAt: encoded.lastAt,
            groupDowntimeMs: ImmutableMap(encoded.groupDowntimeMs),
            strandedAcceleratorMs: ImmutableMap(encoded.strandedAcceleratorMs),
        },
    };
}
