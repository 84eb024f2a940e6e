/** Time by which a process that holds a copy may be behind what is committed, in milliseconds. */
const MAX_BEHIND_MS = 500;

/**
 * Keeps up to which index the log was committed a moment ago. While entries are committed all the time, a process that
 * receives each a moment after the majority never holds the newest.
 */
export class RecentCommits {
    private readonly commits: { at: number; index: number }[] = [];

    /** Records the index up to which the log is committed now; called at each tick while this member leads. */
    record(now: number, index: number): void {
        this.commits.push({ at: now, index });
        while (this.commits[0].at < now - MAX_BEHIND_MS) {
            this.commits.shift();
        }
    }

    /** Index up to which the log was committed half a second before the last record, or at the first if that was later. */
    getEarlierIndex(): number {
        return this.commits[0]?.index ?? Number.POSITIVE_INFINITY;
    }

    /** Forgets all, since this member does not lead. */
    clear(): void {
        this.commits.length = 0;
    }
}
