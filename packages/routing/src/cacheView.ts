/** An entry's view of one endpoint's prefix cache, from the endpoint's reports and the prompts sent to it since. */
export class PrefixCacheView {
    /** Monotonic time at which a block was last reported or sent, by hash. */
    private readonly knownBlocks = new Map<string, number>();
    private sequence = 0;

    constructor(private readonly options: { decayMs?: number; maxBlocks?: number } = {}) {}

    /**
     * Applies a report of all cached blocks. A newer report removes blocks that it does not list, except for blocks
     * that were reported or sent within the last tenth of the decay time, which it may not include yet.
     */
    replaceReported(hashes: readonly string[], sequence: number, now: number): void {
        if (sequence < this.sequence) {
            return;
        }
        if (sequence > this.sequence) {
            const reported = new Set(hashes);
            const decayMs = this.options.decayMs ?? DEFAULT_DECAY_MS;
            for (const [hash, at] of this.knownBlocks) {
                if (!reported.has(hash) && now - at > decayMs / 10) {
                    this.knownBlocks.delete(hash);
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

    /** Removes all blocks, for an endpoint whose engine has restarted. */
    clear(): void {
        this.knownBlocks.clear();
        this.sequence = 0;
    }

    /** Number of leading blocks that are assumed to be cached. */
    countCachedBlocks(prefixHashes: readonly string[], now: number): number {
        const decayMs = this.options.decayMs ?? DEFAULT_DECAY_MS;
        let count = 0;
        for (const hash of prefixHashes) {
            const at = this.knownBlocks.get(hash);
            if (at === undefined || now - at > decayMs) {
                break;
            }
            count++;
        }
        return count;
    }

    private record(hash: string, now: number): void {
        // Re-insertion keeps the map in order of use, so that the first key is the least recently used block.
        this.knownBlocks.delete(hash);
        this.knownBlocks.set(hash, now);
        if (this.knownBlocks.size > (this.options.maxBlocks ?? DEFAULT_MAX_BLOCKS)) {
            const oldest = this.knownBlocks.keys().next().value;
            if (oldest !== undefined) {
                this.knownBlocks.delete(oldest);
            }
        }
    }
}

/** Time after which a block that was neither reported nor sent again is assumed to be evicted. */
const DEFAULT_DECAY_MS = 30_000;
const DEFAULT_MAX_BLOCKS = 20_000;
