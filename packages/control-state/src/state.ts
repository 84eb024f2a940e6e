import type { AuditRecord, CommandResult, ConfigurationValue, StoredAnswer } from "@kumquathall/types";
import { createVersionedMap, type VersionedMap } from "@kumquathall/versioned-map";
import { List, Map as ImmutableMap } from "immutable";

/** One key of the at-most-once ledger. */
export interface LedgerEntry {
    digest: string;
    vm: string;
    incarnation: string;
    attempt: string;
    /** Present once the request has run to its end. */
    answer: StoredAnswer | undefined;
    /** Index of the newest command about this key. */
    index: number;
}

/** Running sums for the two measures. Times in milliseconds since the epoch, sums in milliseconds and accelerator milliseconds. */
export interface MeasureState {
    /** Command time of the newest change that was counted. */
    lastAt: number;
    groupDowntimeMs: ImmutableMap<string, number>;
    strandedAcceleratorMs: ImmutableMap<string, number>;
}

/** Everything that the control group has agreed on. Never changed in place. */
export interface ControlState {
    configuration: VersionedMap<ConfigurationValue>;
    ledger: ImmutableMap<string, LedgerEntry>;
    /** Keys that carry an older time than this (Unix milliseconds) are refused. */
    ledgerTimeMs: number;
    /** First answer to each change id, for resends. */
    changes: ImmutableMap<string, CommandResult>;
    audit: List<AuditRecord>;
    measures: MeasureState;
}

/** Creates the state before the first command. */
export function createControlState(): ControlState {
    return {
        configuration: createVersionedMap(),
        ledger: ImmutableMap(),
        ledgerTimeMs: 0,
        changes: ImmutableMap(),
        audit: List(),
        measures: { lastAt: 0, groupDowntimeMs: ImmutableMap(), strandedAcceleratorMs: ImmutableMap() },
    };
}
