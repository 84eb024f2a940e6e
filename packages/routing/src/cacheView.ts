/** What an entry believes of one endpoint's prefix cache: the endpoint's own list, and what was sent there since. */
export class PrefixCacheView {
    /** Hash to the monotonic time at which it was last confirmed or sent. */
    private readonly believed = new Map<string, number>();
    private sequence = 0;

    constructor(private readonly options: { decayMs?: number; maxBlocks?: number } = {}) {}

    /** Takes the endpoint's list as it is now. Whatever it does not name decays from its last confirmation. */
    replaceReported(hashes: readonly string[], sequence: number, now: number): void {
        if (sequence < this.sequence) {
            return;
        }
        if (sequence > this.sequence) {
            const reported = new Set(hashes);
            const reportLagMs = this.options.decayMs ?? DEFAULT_DECAY_MS;
            for (const [hash, at] of this.believed) {
                if (!reported.has(hash) && now - at > reportLagMs / 10) {
                    this.believed.delete(hash);
                }
            }
        }
        this.sequence = sequence;
        for (const hash of hashes) {
            this.record(hash, now);
        }
    }

    /** Records that a prompt with these prefixes was sent to the endpoint. */
    recordSent(prefixHashes: readonly string[], now: number): void {
        for (const hash of prefixHashes) {
            this.record(hash, now);
        }
    }

    /** Forgets everything: the engine restarted. */
    clear(): void {
        this.believed.clear();
        this.sequence = 0;
    }

    /** Number of leading blocks believed to be cached. */
    countCachedBlocks(prefixHashes: readonly string[], now: number): number {
        const decayMs = this.options.decayMs ?? DEFAULT_DECAY_MS;
        let count = 0;
        for (const hash of prefixHashes) {
            const at = this.believed.get(hash);
            if (at === undefined || now - at > decayMs) {
                break;
            }
            count++;
        }
        return count;
    }

    private record(hash: string, now: number): void {
        // Re-insertion keeps the map in order of use, so that the first key is the oldest.
        this.believed.delete(hash);
        this.believed.set(hash, now);
        if (this.believed.size > (this.options.maxBlocks ?? DEFAULT_MAX_BLOCKS)) {
            const oldest = this.believed.keys().next().value;
            if (oldest !== undefined) {
                this.believed.delete(oldest);
            }
        }
    }
}

const DEFAULT_DECAY_MS = 30_000;
const DEFAULT_MAX_BLOCKS = 20_000;
