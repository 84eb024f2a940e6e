/** One record of the audit trail, which holds every requested change, accepted or refused. */
export interface AuditRecord {
    /** Log index of the command. */
    index: number;
    /** ISO 8601 time at which the change was proposed. */
    at: string;
    operator: string;
    changeId: string;
    action: string;
    subject: string;
    accepted: boolean;
    /** Short text of the state before the change. */
    before: string;
    /** Short text of the state after the change, or the reason for the refusal. */
    after: string;
}
