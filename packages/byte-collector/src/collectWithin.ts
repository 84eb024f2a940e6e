import type { Readable } from "node:stream";
import { ByteCollector } from "./byteCollector.js";

/** Reads a stream to its end. Resolves with `undefined`, and destroys the stream, if it has more than `maxBytes`. */
export async function collectWithin(stream: Readable, maxBytes: number): Promise<Buffer | undefined> {
    const collector = new ByteCollector({ maxBytes });
    for await (const chunk of stream as AsyncIterable<Uint8Array>) {
        if (!collector.add(chunk)) {
            return undefined;
        }
    }
    return collector.join();
}
