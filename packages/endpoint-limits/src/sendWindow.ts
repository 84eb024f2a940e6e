/** Counts requests until a time at which each of them no longer counts. Times are monotonic milliseconds. */
export class SendWindow {
    private items: { count: number; until: number }[] = [];

    add(count: number, until: number): void {
        if (count > 0) {
            this.items.push({ count, until });
        }
    }

    count(now: number): number {
        this.items = this.items.filter(item => item.until > now);
        return this.items.reduce((sum, item) => sum + item.count, 0);
    }

    /** Time until at most `most` requests count, in milliseconds. */
    getWaitMs(most: number, now: number): number {
        let left = this.count(now);
        for (const { count, until } of [...this.items].sort((one, other) => one.until - other.until)) {
            if (left <= most) {
                return 0;
            }
            left -= count;
            if (left <= most) {
                return until - now;
            }
        }
        return 0;
    }

    clear(): void {
        this.items = [];
    }
}
