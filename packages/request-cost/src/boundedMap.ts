/** Map that forgets the least recently used entry when it holds more than `maxEntries`. */
export class BoundedMap<Value> {
    private readonly entries = new Map<string, Value>();

    constructor(private readonly maxEntries: number) {}

    get(key: string): Value | undefined {
        const value = this.entries.get(key);
        if (value !== undefined) {
            this.entries.delete(key);
            this.entries.set(key, value);
        }
        return value;
    }

    getOrCreate(key: string, create: () => Value): Value {
        const known = this.get(key);
        if (known !== undefined) {
            return known;
        }
        const value = create();
        this.entries.set(key, value);
        if (this.entries.size > this.maxEntries) {
            const [oldest] = this.entries.keys();
            this.entries.delete(oldest);
        }
        return value;
    }

    count(): number {
        return this.entries.size;
    }
}
