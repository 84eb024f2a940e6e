/** One attempt of a request, as `explain` shows it. */
export interface AttemptRecord {
    endpoint: string;
    vm: string;
    reason: string;
    startedMs: number;
    endedMs: number;
    end: string;
    reattached: number;
}

/** What became of one request. */
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

/** The newest requests of this entry, oldest dropped first. Records are kept as text: thousands of objects would burden the garbage collector. */
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
