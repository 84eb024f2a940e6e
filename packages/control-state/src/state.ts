import type { AuditRecord, CommandResult, ConfigurationValue, StoredAnswer } from "@kumquathall/types";
import { createVersionedMap, type VersionedMap } from "@kumquathall/versioned-map";
import { List, Map as ImmutableMap } from "immutable";

/** One key of the at-most-once ledger. */
export interface LedgerEntry {
    digest: string;
    vm: string;
    incarnation: string;
    attempt: string;
    /** Present once the request has completed. */
    answer: StoredAnswer | undefined;
    /** Index of the newest command about this key. */
    index: number;
}

/** Totals of the availability metrics by institution, in milliseconds and accelerator milliseconds. */
export interface MetricTotals {
    /** Time of the last counted command, in Unix milliseconds; 0 before the first. */
    lastAt: number;
    groupDowntimeMs: ImmutableMap<string, number>;
    strandedAcceleratorMs: ImmutableMap<string, number>;
}

/** Replicated state of the control group. Immutable. */
export interface ControlState {
    configuration: VersionedMap<ConfigurationValue>;
    /** Document of the traffic configuration in force, as the operator sent it. */
    trafficDocument: string | undefined;
    ledger: ImmutableMap<string, LedgerEntry>;
    /** Keys that carry an older time than this (Unix milliseconds) are refused. */
    ledgerTimeMs: number;
    /** Result of the first command with each change id, returned again when the change is resent. */
    changes: ImmutableMap<string, CommandResult>;
    audit: List<AuditRecord>;
    metricTotals: MetricTotals;
}

/** Creates the state before the first command. */
export function createControlState(): ControlState {
    return {
        configuration: createVersionedMap(),
        trafficDocument: undefined,
        ledger: ImmutableMap(),
        ledgerTimeMs: 0,
        changes: ImmutableMap(),
        audit: List(),
        metricTotals: { lastAt: 0, groupDowntimeMs: ImmutableMap(), strandedAcceleratorMs: ImmutableMap() },
    };
}
