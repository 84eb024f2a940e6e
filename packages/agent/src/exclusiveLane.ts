/** Lets one holder in at a time, in the order of arrival. */
export class ExclusiveLane {
    private tail: Promise<void> = Promise.resolve();

    /** Resolves when it is the caller's turn, with the function that ends it. */
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
