import type { Socket } from "node:net";
import { buildConnector } from "undici";
import { ReadGate } from "./readGate.js";

/** Error code that replaces ECONNRESET. */
const RESET_CODE = "ERR_CONNECTION_RESET";

/** Set while the "end" listeners of a connection that was reset run. */
let isEndFromReset = false;

/** Whether a reset truncated the response just reported as complete. Only valid in the client's completion callback. */
export function isTruncatedByReset(): boolean {
    return isEndFromReset;
}

/**
 * Creates a connector whose sockets distinguish a reset from a regular end, and whose reading can be stopped. The client treats both as the end of a
 * response without a length, so a truncated response would look complete.
 */
export function createResetDetectingConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) =>
        connect(options, (...result) => {
            if (result[0] === null) {
                watchSocket(result[1]);
                ReadGate.attach(result[1]);
            }
            callback(...result);
        });
}

function watchSocket(socket: Socket): void {
    // The client treats only ECONNRESET as the end of a response without a length; another code makes it fail.
    socket.prependListener("error", (error: Error & { code?: string }) => {
        error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
    });
    // A reset directly after the last bytes is reported as a regular end, but the socket then has no remote port.
    socket.prependListener("end", () => {
        isEndFromReset = socket.remotePort === undefined;
        process.nextTick(() => {
            isEndFromReset = false;
        });
    });
}
