/** An attempt of a request, as shown by `explain`. */
export interface AttemptRecord {
    endpoint: string;
    vm: string;
    reason: string;
    startedMs: number;
    endedMs: number;
    end: string;
    reattached: number;
}

/** Outcome and attempts of a request, as shown by `explain`. */
export interface RequestRecord {
    requestId: string;
    at: string;
    institution: string;
    service: string;
    account: string;
    isRepeatable: boolean;
    queuedMs: number;
    candidates: number;
    attempts: AttemptRecord[];
    outcome: string;
    code: string;
    totalMs: number;
}

const MAX_RECORDS = 20_000;

/**
 * Stores the records of this entry's newest requests. Records are kept as JSON text, because thousands of live objects
 * slow down garbage collection.
 */
export class ExplainStore {
    private readonly records = new Map<string, string>();

    add(record: RequestRecord): void {
        this.records.set(record.requestId, JSON.stringify(record));
        if (this.records.size > MAX_RECORDS) {
            const oldest = this.records.keys().next().value;
            if (oldest !== undefined) {
                this.records.delete(oldest);
            }
        }
    }

    find(requestId: string): RequestRecord | undefined {
        const text = this.records.get(requestId);
        return text === undefined ? undefined : JSON.parse(text) as RequestRecord;
    }
}
