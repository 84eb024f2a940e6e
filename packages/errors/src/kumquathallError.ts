/** Base class of all errors this workspace throws. Each layer has its own subclass and converts errors from below. */
export class KumquathallError extends Error {
    /**
     * @param message What happened and, where it helps, what to do next.
     * @param cause The error of the layer below, if any.
     */
    constructor(message: string, cause?: unknown) {
        super(message, cause === undefined ? undefined : { cause });
        this.name = new.target.name;
    }
}

/** Returns the message of a thrown value, whatever its type. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
