import type { Socket } from "node:net";

/** Code of the error with which a socket ends whose bytes bring no response. */
const NO_RESPONSE_CODE = "ERR_NO_RESPONSE";
/** Most bytes that may arrive without a response's head or content, in bytes: heads have 16 KB at most. */
const MAX_BYTES_WITHOUT_RESPONSE = 1024 * 1024;

/** The gate whose socket was read last: its bytes are parsed before another socket is read. */
const parsed: { gate: ReadGate | undefined } = { gate: undefined };

/** Whether a connection was closed because what it brought without an end was no part of a response. */
export function isWithoutResponse(error: Error & { code?: string }): boolean {
    return error.code === NO_RESPONSE_CODE;
}

/**
 * Decides when an HTTP client reads its socket. The client's own pause puts the rest of what it has read back and copies it
 * when it goes on: 64 KB and more for each of thousands of small chunks, faster than the memory is reclaimed. Here, what
 * has been read is parsed to its end, and the rest waits at the peer.
 */
export class ReadGate {
    private isStopped = false;
    /** Bytes that were read since a response's head or content. */
    private bytesWithoutResponse = 0;

    private constructor(private readonly socket: Socket) {}

    /** Attaches a gate to a socket; its client's callbacks get it with {@link getParsedGate}. */
    static attach(socket: Socket): void {
        const gate = new ReadGate(socket);
        const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
        socket.read = size => {
            const chunk = gate.isStopped ? null : read(size);
            if (chunk === null || !gate.admit(chunk.length)) {
                return null;
            }
            parsed.gate = gate;
            return chunk;
        };
    }

    /** Reads no more; what was read before still arrives. */
    stop(): void {
        this.isStopped = true;
    }

    /** Reads again, beginning with what has arrived meanwhile. */
    start(): void {
        if (!this.isStopped) {
            return;
        }
        this.isStopped = false;
        // The client's parser may be running now.
        process.nextTick(() => {
            if (!this.socket.destroyed) {
                this.socket.emit("readable");
            }
        });
    }

    /** Records that the bytes read last have brought the head, content or end of a response. */
    recordResponse(): void {
        this.bytesWithoutResponse = 0;
    }

    private admit(bytes: number): boolean {
        this.bytesWithoutResponse += bytes;
        if (this.bytesWithoutResponse <= MAX_BYTES_WITHOUT_RESPONSE) {
            return true;
        }
        const message = `${this.bytesWithoutResponse} bytes brought no response; the connection is closed`;
        this.socket.destroy(Object.assign(new Error(message), { code: NO_RESPONSE_CODE }));
        return false;
    }
}

/** The gate of the socket whose bytes are parsed now. Only valid in callbacks of the client's parser. */
export function getParsedGate(): ReadGate | undefined {
    return parsed.gate;
}
