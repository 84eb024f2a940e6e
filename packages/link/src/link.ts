import { describeError, KumquathallError } from "@kumquathall/errors";
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder } from "./frame.js";

/** Error of the link layer: no answer, a closed link, or a peer that failed a call. */
export class LinkError extends KumquathallError {}

/** Who the peer says it is, in its first frame. */
export interface PeerIdentity {
    cluster: string;
    /** Control group that the peer belongs to or serves. */
    controlGroup: string;
    role: string;
    id: string;
    incarnation: string;
}

/** Answers a call of the peer. A rejected promise becomes an error at the caller. */
export type LinkCallHandler = (message: unknown, link: Link) => unknown;

export interface LinkHandlers {
    onOpen?: (link: Link) => void;
    onCall?: LinkCallHandler;
    onCast?: (message: unknown, link: Link) => void;
    onClose?: (link: Link, reason: string) => void;
}

export interface LinkOptions {
    identity: PeerIdentity;
    handlers: LinkHandlers;
    /** Interval of heartbeats, in milliseconds. */
    heartbeatIntervalMs?: number;
    /** A link that was silent for this long is closed, in milliseconds. */
    heartbeatTimeoutMs?: number;
    /** Largest number of bytes waiting to be sent before the link is closed as stuck. */
    maxQueuedBytes?: number;
}

const DEFAULT_HEARTBEAT_MS = 500;
const DEFAULT_SILENCE_MS = 1800;
const DEFAULT_MAX_QUEUED_BYTES = 64 * 1024 * 1024;
const DEFAULT_CALL_TIMEOUT_MS = 2000;

type LinkFrame =
    | { t: "hello"; identity: PeerIdentity }
    | { t: "ping" }
    | { t: "call"; id: number; m: unknown }
    | { t: "answer"; id: number; m: unknown }
    | { t: "fail"; id: number; error: string }
    | { t: "cast"; m: unknown };

interface PendingCall {
    resolve: (message: unknown) => void;
    reject: (error: Error) => void;
    timer: NodeJS.Timeout;
}

/** One open connection to a peer. Owns its socket, its heartbeats and the calls waiting on it. */
export class Link {
    /** Set once the peer's first frame arrived. */
    peer: PeerIdentity | undefined;
    private readonly decoder = new FrameDecoder();
    private readonly pendingCalls = new Map<number, PendingCall>();
    private nextCallId = 1;
    private lastHeard = performance.now();
    private lastSent = 0;
    private isClosed = false;
    private outgoing: Buffer[] = [];
    private isFlushScheduled = false;
    private readonly heartbeat: NodeJS.Timeout;

    constructor(private readonly socket: Socket, private readonly options: LinkOptions) {
        socket.setNoDelay(true);
        socket.on("data", data => this.handleData(data));
        socket.on("error", error => this.close(error.message));
        socket.on("close", () => this.close("closed by peer"));
        this.heartbeat = setInterval(() => this.checkHeartbeat(), this.getHeartbeatMs());
        this.sendFrame({ t: "hello", identity: options.identity });
    }

    /** Whether the link can still carry messages. */
    isOpen(): boolean {
        return !this.isClosed;
    }

    /** Sends a message that needs no answer. Dropped when the link is closed. */
    cast(message: unknown): void {
        this.sendFrame({ t: "cast", m: message });
    }

    /** Sends a message and waits for its answer. Rejects with {@link LinkError} on timeout, failure or a closed link. */
    call(message: unknown, timeoutMs: number = DEFAULT_CALL_TIMEOUT_MS): Promise<unknown> {
        if (this.isClosed) {
            return Promise.reject(new LinkError("the link is closed"));
        }
        const id = this.nextCallId++;
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.pendingCalls.delete(id);
                reject(new LinkError(`no answer within ${timeoutMs} ms`));
            }, timeoutMs);
            this.pendingCalls.set(id, { resolve, reject, timer });
            this.sendFrame({ t: "call", id, m: message });
        });
    }

    /** Closes the link and fails the calls that wait on it. Further calls do nothing. */
    close(reason: string): void {
        if (this.isClosed) {
            return;
        }
        this.flush();
        this.isClosed = true;
        clearInterval(this.heartbeat);
        this.socket.destroy();
        for (const call of this.pendingCalls.values()) {
            clearTimeout(call.timer);
            call.reject(new LinkError(`the link was closed: ${reason}`));
        }
        this.pendingCalls.clear();
        this.options.handlers.onClose?.(this, reason);
    }

    private checkHeartbeat(): void {
        if (performance.now() - this.lastHeard > (this.options.heartbeatTimeoutMs ?? DEFAULT_SILENCE_MS)) {
            this.close("silent");
            return;
        }
        // Whatever was sent a moment ago told the peer as much as a heartbeat would.
        if (performance.now() - this.lastSent >= this.getHeartbeatMs() / 2) {
            this.sendFrame({ t: "ping" });
        }
    }

    private getHeartbeatMs(): number {
        return this.options.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_MS;
    }

    private sendFrame(frame: LinkFrame): void {
        if (this.isClosed) {
            return;
        }
        this.lastSent = performance.now();
        this.outgoing.push(encodeFrame(frame));
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            setImmediate(() => this.flush());
        }
    }

    private flush(): void {
        this.isFlushScheduled = false;
        if (this.isClosed || this.outgoing.length === 0) {
            return;
        }
        const data = this.outgoing.length === 1 ? this.outgoing[0] : Buffer.concat(this.outgoing);
        this.outgoing = [];
        this.socket.write(data);
        if (this.socket.writableLength > (this.options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES)) {
            this.close("peer does not read");
        }
    }

    private handleData(data: Buffer): void {
        this.lastHeard = performance.now();
        let frames: unknown[];
        try {
            frames = this.decoder.decode(data);
        }
        catch (error) {
            this.close(describeError(error));
            return;
        }
        for (const frame of frames) {
            if (this.isClosed) {
                return;
            }
            this.handleFrame(frame as LinkFrame);
        }
    }

    private handleFrame(frame: LinkFrame): void {
        if (typeof frame !== "object" || frame === null) {
            this.close("a frame is not an object");
            return;
        }
        if (this.peer === undefined && frame.t !== "hello") {
            this.close("the first frame is not a greeting");
            return;
        }
        switch (frame.t) {
            case "hello":
                this.handleHello(frame.identity);
                return;
            case "ping":
                return;
            case "call":
                void this.answerCall(frame.id, frame.m);
                return;
            case "answer":
                this.takeCall(frame.id)?.resolve(frame.m);
                return;
            case "fail":
                this.takeCall(frame.id)?.reject(new LinkError(String(frame.error)));
                return;
            case "cast":
                this.options.handlers.onCast?.(frame.m, this);
                return;
            default:
                this.close("a frame of unknown kind");
        }
    }

    private handleHello(identity: PeerIdentity): void {
        if (identity?.cluster !== this.options.identity.cluster) {
            this.close(`the peer belongs to cluster "${identity?.cluster}"`);
            return;
        }
        this.peer = identity;
        this.options.handlers.onOpen?.(this);
    }

    private takeCall(id: number): PendingCall | undefined {
        const call = this.pendingCalls.get(id);
        if (call !== undefined) {
            this.pendingCalls.delete(id);
            clearTimeout(call.timer);
        }
        return call;
    }

    private async answerCall(id: number, message: unknown): Promise<void> {
        try {
            const answer = await this.options.handlers.onCall?.(message, this);
            this.sendFrame({ t: "answer", id, m: answer });
        }
        catch (error) {
            this.sendFrame({ t: "fail", id, error: describeError(error) });
        }
    }
}
