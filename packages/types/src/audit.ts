/** One line of the audit trail: every change, accepted or refused. */
export interface AuditRecord {
    index: number;
    at: string;
    operator: string;
    changeId: string;
    action: string;
    subject: string;
    accepted: boolean;
    /** Short text of the state before and after, or the reason of the refusal. */
    before: string;
    after: string;
}
