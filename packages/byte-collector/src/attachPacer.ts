import type { IncomingMessage } from "node:http";
import type { ChunkPacer } from "./chunkPacer.js";

/** Counts the chunks of a request's body from the moment at which it is read, also while it is discarded. */
export function attachPacer(request: IncomingMessage, pacer: ChunkPacer): void {
    const { socket } = request;
    let isStopped = false;
    const stopReading = () => {
        isStopped = true;
        socket.pause();
    };
    const startReading = () => {
        isStopped = false;
        socket.resume();
    };
    // The request resumes its socket whenever its own buffer has room, which it always has while its chunks are consumed.
    const readMore = request._read.bind(request);
    request._read = size => {
        if (!isStopped) {
            readMore(size);
        }
    };
    request.once("resume", () => {
        const chunks = pacer.open({ stopReading, startReading });
        request.on("data", (chunk: Buffer) => chunks.record(chunk.length));
        request.once("close", () => chunks.close());
    });
}
