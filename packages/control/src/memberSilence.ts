/** A longer time between two updates means that this process was suspended, in milliseconds. */
const MAX_UPDATE_GAP_MS = 1000;

export interface MemberSilenceOptions {
    /** Safety checks that the model checker skips to verify that it finds the violation; never set in production. */
    disabledGuards?: readonly string[];
}

/**
 * Measures on the leader for how long the members and learners have not answered. Silence counts only from when this leader
 * began to send to a process: before, there was nothing to answer. While the leader itself is suspended, none counts.
 */
export class MemberSilence {
    /** Monotonic time from which the silence of each process counts. */
    private readonly countedFrom = new Map<string, number>();
    private updatedAt = Number.NEGATIVE_INFINITY;
    private leadsSince: number | undefined;

    constructor(private readonly options: MemberSilenceOptions = {}) {}

    /** Takes the processes to which the leader sends now; called at each tick while this member leads. */
    update(now: number, receivers: readonly string[]): void {
        if (now - this.updatedAt > MAX_UPDATE_GAP_MS) {
            this.clear();
        }
        this.updatedAt = now;
        this.leadsSince ??= now;
        for (const known of this.countedFrom.keys()) {
            if (!receivers.includes(known)) {
                this.countedFrom.delete(known);
            }
        }
        for (const receiver of receivers) {
            if (!this.countedFrom.has(receiver)) {
                this.countedFrom.set(receiver, now);
            }
        }
    }

    /** Forgets all processes, since this member does not lead. */
    clear(): void {
        this.countedFrom.clear();
        this.leadsSince = undefined;
    }

    /** Time in milliseconds since a process answered, by the send time of the newest message that it has answered. */
    compute(now: number, process: string, answeredSentAt: number | undefined): number {
        const countedFrom = this.options.disabledGuards?.includes("silenceFromSending") === true
            ? this.leadsSince
            : this.countedFrom.get(process);
        return now - Math.max(answeredSentAt ?? Number.NEGATIVE_INFINITY, countedFrom ?? now);
    }
}
