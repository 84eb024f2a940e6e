/** Base class of all errors in this workspace. Each layer has its own subclass and wraps the errors of lower layers. */
export class KumquathallError extends Error {
    /**
     * @param message What went wrong and, where there is one, the remedy.
     * @param cause The error of a lower layer that caused this one, if any.
     */
    constructor(message: string, cause?: unknown) {
        super(message, cause === undefined ? undefined : { cause });
        this.name = new.target.name;
    }
}

/** Returns the message of a thrown value, which need not be an `Error`. */
export function describeError(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
