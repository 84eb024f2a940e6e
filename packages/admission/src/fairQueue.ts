/** One waiting item of an account. */
export interface FairQueueItem<Value> {
    value: Value;
    account: string;
    weight: number;
    /** Larger is served first. */
    priority: number;
    /** Share of the server that the item takes. */
    cost: number;
}

interface QueuedItem<Value> extends FairQueueItem<Value> {
    finishTag: number;
    order: number;
}

/** Weighted fair queue: between items of one priority, accounts are served in proportion to their weights. */
export class FairQueue<Value> {
    /** Waiting items by priority, each list in order of finish tags. */
    private readonly levels = new Map<number, QueuedItem<Value>[]>();
    private readonly lastTags = new Map<string, number>();
    private virtualTime = 0;
    private nextOrder = 0;
    private size = 0;

    /** Number of waiting items. */
    getSize(): number {
        return this.size;
    }

    /** Adds an item behind those of its account. */
    push(item: FairQueueItem<Value>): void {
        const accountKey = `${item.priority}/${item.account}`;
        const startTag = Math.max(this.virtualTime, this.lastTags.get(accountKey) ?? 0);
        const finishTag = startTag + item.cost / item.weight;
        this.lastTags.set(accountKey, finishTag);
        const level = this.levels.get(item.priority) ?? [];
        this.levels.set(item.priority, level);
        insertByTag(level, { ...item, finishTag, order: this.nextOrder++ });
        this.size++;
    }

    /** Takes the next item: highest priority first, then the smallest finish tag. */
    take(): Value | undefined {
        const priority = this.findPriority();
        if (priority === undefined) {
            return undefined;
        }
        const item = this.levels.get(priority)?.shift();
        if (item === undefined) {
            return undefined;
        }
        this.size--;
        this.virtualTime = Math.max(this.virtualTime, item.finishTag - item.cost / item.weight);
        if (this.size === 0) {
            this.lastTags.clear();
            this.levels.clear();
        }
        return item.value;
    }

    /** Removes an item before its turn; returns whether it was waiting. */
    remove(value: Value): boolean {
        for (const level of this.levels.values()) {
            const at = level.findIndex(item => item.value === value);
            if (at >= 0) {
                level.splice(at, 1);
                this.size--;
                return true;
            }
        }
        return false;
    }

    private findPriority(): number | undefined {
        let highest: number | undefined;
        for (const [priority, level] of this.levels) {
            if (level.length > 0 && (highest === undefined || priority > highest)) {
                highest = priority;
            }
        }
        return highest;
    }
}

function insertByTag<Value>(level: QueuedItem<Value>[], item: QueuedItem<Value>): void {
    let low = 0;
    let high = level.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        const other = level[middle];
        const isBefore = other.finishTag < item.finishTag
            || (other.finishTag === item.finishTag && other.order < item.order);
        if (isBefore) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    level.splice(low, 0, item);
}
