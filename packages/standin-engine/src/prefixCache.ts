/** Prefix blocks of limited number, least recently used dropped first. */
export class PrefixCache {
    private readonly blocks = new Map<string, true>();
    /** Raised with every change. */
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

    /** Marks blocks as used now and drops the oldest beyond the bound. */
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

    list(): string[] {
        return [...this.blocks.keys()];
    }

    clear(): void {
        this.blocks.clear();
        this.sequence++;
    }
}
