import type { AuditRecord } from "@kumquathall/types";
import type { ControlState } from "./state.js";

/** Records kept in memory; older ones are in the logs. */
const MAX_AUDIT_RECORDS = 20_000;

/** Adds one record to the audit trail. */
export function auditChange(state: ControlState, record: AuditRecord): ControlState {
    const audit = state.audit.push(record);
    return { ...state, audit: audit.size > MAX_AUDIT_RECORDS ? audit.shift() : audit };
}
