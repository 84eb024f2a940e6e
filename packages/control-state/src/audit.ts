import type { AuditRecord } from "@kumquathall/types";
import type { ControlState } from "./state.js";

/** Most records kept in memory; older ones are in the logs. */
const MAX_AUDIT_RECORDS = 20_000;

/** Appends a record to the audit trail and drops the oldest one above the limit. */
export function appendAuditRecord(state: ControlState, record: AuditRecord): ControlState {
    const audit = state.audit.push(record);
    return { ...state, audit: audit.size > MAX_AUDIT_RECORDS ? audit.shift() : audit };
}
