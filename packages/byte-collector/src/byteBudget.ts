/** Bytes that may be held at once. */
export class ByteBudget {
    private held = 0;

    constructor(private readonly maxBytes: number) {}

    /** Takes bytes out of the budget; returns `false`, and takes none, if it does not hold as many. */
    take(bytes: number): boolean {
        if (this.held + bytes > this.maxBytes) {
            return false;
        }
        this.held += bytes;
        return true;
    }

    getHeld(): number {
        return this.held;
    }

    /** Returns bytes that were taken. */
    release(bytes: number): void {
        this.held -= bytes;
    }
}
