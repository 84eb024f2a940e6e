/** Mutual exclusion lock. Waiters enter in the order of their calls. */
export class Mutex {
    private tail: Promise<void> = Promise.resolve();

    /** Waits for the lock. Resolves to the function that releases it. */
    async enter(): Promise<() => void> {
        const previous = this.tail;
        let leave: () => void = () => undefined;
        this.tail = new Promise(resolve => {
            leave = resolve;
        });
        await previous;
        return leave;
    }
}
