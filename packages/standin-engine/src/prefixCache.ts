/** LRU cache of prefix block hashes. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    /** Incremented with every change. */
    sequence = 0;

    constructor(private readonly maxBlocks: number) {}

    /** Number of leading blocks that are cached. */
    countCached(hashes: readonly string[]): number {
        let count = 0;
        while (count < hashes.length && this.blocks.has(hashes[count])) {
            count++;
        }
        return count;
    }

    /** Adds blocks or marks them as just used, then evicts the least recently used ones above `maxBlocks`. */
    store(hashes: readonly string[]): void {
        for (const hash of hashes) {
            this.blocks.delete(hash);
            this.blocks.set(hash, true);
        }
        while (this.blocks.size > this.maxBlocks) {
            const oldest = this.blocks.keys().next().value;
            if (oldest !== undefined) {
                this.blocks.delete(oldest);
            }
        }
        this.sequence++;
    }

    /** Hashes of all cached blocks, least recently used first. */
    list(): string[] {
        return [...this.blocks.keys()];
    }

    clear(): void {
        this.blocks.clear();
        this.sequence++;
    }
}
