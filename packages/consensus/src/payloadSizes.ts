import { measureRecord } from "@kumquathall/storage";
import type { LogPayload } from "@kumquathall/types";

/** Encoded sizes of payloads. A payload never changes, so it is encoded for its size only once. */
export class PayloadSizes {
    private readonly sizes = new WeakMap<LogPayload<unknown>, number>();

    /** Returns the encoded size of a payload, in bytes. */
    measure(payload: LogPayload<unknown>): number {
        const known = this.sizes.get(payload);
        if (known !== undefined) {
            return known;
        }
        const bytes = measureRecord(payload);
        this.sizes.set(payload, bytes);
        return bytes;
    }
}
