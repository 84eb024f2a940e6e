/** An item that an account queues. */
export interface FairQueueItem<Value> {
    value: Value;
    account: string;
    weight: number;
    /** Items of higher priority are served first. */
    priority: number;
    /** Relative amount of service that the item needs. */
    cost: number;
}

interface QueuedItem<Value> extends FairQueueItem<Value> {
    /** Virtual time at which the item would finish if accounts were served in parallel by their weights. */
    finishTag: number;
    /** Insertion order, which breaks ties between equal finish tags. */
    order: number;
}

/** Weighted fair queue: among items of the same priority, accounts are served in proportion to their weights. */
export class FairQueue<Value> {
    /** Queued items by priority, each list sorted by finish tag. */
    private readonly levels = new Map<number, QueuedItem<Value>[]>();
    /** Finish tag of the newest item by priority and account. */
    private readonly lastTags = new Map<string, number>();
    private virtualTime = 0;
    private nextOrder = 0;
    private size = 0;

    /** Number of queued items. */
    getSize(): number {
        return this.size;
    }

    /** Adds an item behind the other items of its account and priority. */
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

    /** Removes and returns the next item: highest priority first, then the smallest finish tag. */
    take(): Value | undefined {
        const priority = this.findHighestPriority();
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

    /** Removes a queued item; returns whether it was queued. */
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

    private findHighestPriority(): number | undefined {
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
