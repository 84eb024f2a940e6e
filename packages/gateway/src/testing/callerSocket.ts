import { Duplex } from "node:stream";

/** The gateway's side of a caller's connection, without a network. */
export class CallerSocket extends Duplex {
    /** What the gateway has written and the caller has read. */
    received = "";
    /** Idle time after which the connection is closed, in milliseconds; 0 for none. */
    idleLimitMs = 0;
    private isReading = true;
    private readonly unread: { text: string; confirm: () => void }[] = [];

    constructor() {
        super({
            allowHalfOpen: true,
            read: () => undefined,
            write: (chunk: Buffer, _encoding, confirm) => this.receive(chunk.toString("latin1"), confirm),
        });
        this.on("error", () => undefined);
    }

    /** Called by the HTTP server, as for a socket. */
    setTimeout(idleLimitMs: number): this {
        this.idleLimitMs = idleLimitMs;
        return this;
    }

    /** Sends bytes to the gateway. */
    send(text: string): void {
        this.push(text);
    }

    /** The caller reads nothing until `startReading`. */
    stopReading(): void {
        this.isReading = false;
    }

    startReading(): void {
        this.isReading = true;
        // Closing the connection has discarded what was not read.
        for (const { text, confirm } of this.destroyed ? [] : this.unread.splice(0)) {
            this.received += text;
            confirm();
        }
    }

    /** The body of the only response, without the framing of its chunks. */
    getStream(): string {
        const body = this.received.split("\r\n\r\n").slice(1).join("\r\n\r\n");
        return body.replaceAll(/(?:^|\r\n)[0-9a-f]+\r\n/g, "").replace(/\r\n$/, "");
    }

    /** Whether the response has its last chunk. */
    hasWholeStream(): boolean {
        return this.received.endsWith("\r\n0\r\n\r\n");
    }

    private receive(text: string, confirm: () => void): void {
        if (!this.isReading) {
            this.unread.push({ text, confirm });
            return;
        }
        this.received += text;
        confirm();
    }
}
