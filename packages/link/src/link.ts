import { describeError, KumquathallError } from "@kumquathall/errors";
import { PeerTimer } from "@kumquathall/peer-timers";
import type { Socket } from "node:net";
import { encodeFrame, FrameDecoder, FrameError } from "./frame.js";

/** A call failed: it timed out, the link is not open, or the peer answered with an error. */
export class LinkError extends KumquathallError {}

/** Identity that a peer sends in its first frame. */
export interface PeerIdentity {
    cluster: string;
    /** Control group that the peer belongs to or serves. */
    controlGroup: string;
    role: string;
    id: string;
    incarnation: string;
}

/** Returns the answer to a call of the peer, or a promise of it. If the promise rejects, the call fails at the peer. */
export type LinkCallHandler = (message: unknown, link: Link) => unknown;

/** Amounts of data that a link has carried, in bytes with frame headers. */
export interface LinkTraffic {
    sentBytes: number;
    receivedBytes: number;
    /** Bytes that the peer's side of the connection has not accepted yet. */
    queuedBytes: number;
}

export interface LinkHandlers {
    /** Called once the peer has identified itself. */
    onOpen?: (link: Link) => void;
    onCall?: LinkCallHandler;
    onCast?: (message: unknown, link: Link) => void;
    onClose?: (link: Link, reason: string) => void;
    /** Called when a received or sent message can't be handled. */
    onFault?: (link: Link, fault: LinkFault) => void;
}

/** A message that can't be handled. `kind` is one of few values. */
export interface LinkFault {
    kind: "frame" | "cast" | "sent-message";
    error: unknown;
}

export interface LinkOptions {
    identity: PeerIdentity;
    handlers: LinkHandlers;
    /** Interval between heartbeats, in milliseconds. */
    heartbeatIntervalMs?: number;
    /** The link is closed if no data is received for this time, in milliseconds. */
    heartbeatTimeoutMs?: number;
    /** Maximum number of bytes in the send queue. The link is closed if a peer that does not read exceeds it. */
    maxQueuedBytes?: number;
}

const DEFAULT_HEARTBEAT_INTERVAL_MS = 500;
const DEFAULT_HEARTBEAT_TIMEOUT_MS = 1800;
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
    timer: PeerTimer;
}

/** Connection to a peer, with its heartbeats and pending calls. */
export class Link {
    /** Set when the peer's first frame has arrived. */
    peer: PeerIdentity | undefined;
    private readonly decoder = new FrameDecoder(error => this.reportFault("frame", error));
    private readonly pendingCalls = new Map<number, PendingCall>();
    private nextCallId = 1;
    private lastSentAt = 0;
    private isClosed = false;
    private sentBytes = 0;
    private receivedBytes = 0;
    private outgoing: Buffer[] = [];
    private isFlushScheduled = false;
    private readonly heartbeatTimer: NodeJS.Timeout;
    private readonly silenceTimer: PeerTimer;

    constructor(private readonly socket: Socket, private readonly options: LinkOptions) {
        socket.setNoDelay(true);
        socket.on("data", data => this.handleData(data));
        socket.on("error", error => this.close(error.message));
        socket.on("close", () => this.close("closed by peer"));
        this.heartbeatTimer = setInterval(() => this.sendHeartbeat(), this.getHeartbeatIntervalMs());
        this.silenceTimer = new PeerTimer({ onExpire: () => this.close("heartbeat timeout") });
        this.silenceTimer.start(this.getHeartbeatTimeoutMs());
        this.sendFrame({ t: "hello", identity: options.identity });
    }

    /** Whether the link has not been closed. */
    isOpen(): boolean {
        return !this.isClosed;
    }

    getTraffic(): LinkTraffic {
        const unflushed = this.outgoing.reduce((sum, frame) => sum + frame.length, 0);
        return {
            sentBytes: this.sentBytes,
            receivedBytes: this.receivedBytes,
            queuedBytes: unflushed + this.socket.writableLength,
        };
    }

    /**
     * Sends a one-way message. It is dropped if the link is closed, and if no frame holds it; the link stays open.
     * `encoded` is the message's frame, if it was sent over another link before. Returns whether a frame holds it.
     */
    cast(message: unknown, encoded?: Buffer): boolean {
        try {
            this.sendData(encoded ?? encodeCast(message));
            return true;
        }
        catch (error) {
            if (!(error instanceof FrameError)) {
                throw error;
            }
            this.reportFault("sent-message", error);
            return false;
        }
    }

    /** Sends a message and waits for the answer. Rejects with {@link LinkError} on timeout, error or a closed link. */
    call(message: unknown, timeoutMs: number = DEFAULT_CALL_TIMEOUT_MS): Promise<unknown> {
        if (this.isClosed) {
            return Promise.reject(new LinkError("the link is closed"));
        }
        const id = this.nextCallId++;
        return new Promise((resolve, reject) => {
            const timer = new PeerTimer({
                onExpire: () => {
                    this.pendingCalls.delete(id);
                    reject(new LinkError(`call timed out after ${timeoutMs} ms`));
                },
            });
            timer.start(timeoutMs);
            this.pendingCalls.set(id, { resolve, reject, timer });
            try {
                this.sendFrame({ t: "call", id, m: message });
            }
            catch (error) {
                this.removePendingCall(id)?.reject(new LinkError(describeError(error)));
            }
        });
    }

    /** Closes the link and rejects its pending calls. Does nothing if the link is already closed. */
    close(reason: string): void {
        if (this.isClosed) {
            return;
        }
        this.flush();
        this.isClosed = true;
        clearInterval(this.heartbeatTimer);
        this.silenceTimer.stop();
        this.socket.destroy();
        for (const call of this.pendingCalls.values()) {
            call.timer.stop();
            call.reject(new LinkError(`the link was closed: ${reason}`));
        }
        this.pendingCalls.clear();
        this.options.handlers.onClose?.(this, reason);
    }

    private sendHeartbeat(): void {
        // Any recently sent frame serves as a heartbeat.
        if (performance.now() - this.lastSentAt >= this.getHeartbeatIntervalMs() / 2) {
            this.sendFrame({ t: "ping" });
        }
    }

    private getHeartbeatIntervalMs(): number {
        return this.options.heartbeatIntervalMs ?? DEFAULT_HEARTBEAT_INTERVAL_MS;
    }

    private getHeartbeatTimeoutMs(): number {
        return this.options.heartbeatTimeoutMs ?? DEFAULT_HEARTBEAT_TIMEOUT_MS;
    }

    private sendFrame(frame: LinkFrame): void {
        this.sendData(encodeFrame(frame));
    }

    private sendData(data: Buffer): void {
        if (this.isClosed) {
            return;
        }
        this.lastSentAt = performance.now();
        this.sentBytes += data.length;
        this.outgoing.push(data);
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
            this.close("the peer does not read and the send queue is full");
        }
    }

    private handleData(data: Buffer): void {
        this.silenceTimer.start(this.getHeartbeatTimeoutMs());
        this.receivedBytes += data.length;
        let frames: unknown[];
        try {
            frames = this.decoder.decode(data);
        }
        catch (error) {
            this.reportFault("frame", error);
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
            this.reportFault("frame", new FrameError("a frame is not an object"));
            return;
        }
        if (this.peer === undefined && frame.t !== "hello") {
            this.close("the first received frame is not a hello frame");
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
                this.removePendingCall(frame.id)?.resolve(frame.m);
                return;
            case "fail":
                this.removePendingCall(frame.id)?.reject(new LinkError(String(frame.error)));
                return;
            case "cast":
                this.handleCast(frame.m);
                return;
            default:
                this.reportFault("frame", new FrameError("a frame is of an unknown type"));
        }
    }

    /** Delivers a one-way message. One that its receiver can't handle is dropped; the link stays open. */
    private handleCast(message: unknown): void {
        try {
            this.options.handlers.onCast?.(message, this);
        }
        catch (error) {
            this.reportFault("cast", error);
        }
    }

    private handleHello(identity: PeerIdentity): void {
        if (typeof identity?.id !== "string" || typeof identity.role !== "string") {
            this.close("the peer's identity has no id or role");
            return;
        }
        if (identity.cluster !== this.options.identity.cluster) {
            this.close(`the peer belongs to cluster "${identity.cluster}"`);
            return;
        }
        this.peer = identity;
        try {
            this.options.handlers.onOpen?.(this);
        }
        catch (error) {
            this.reportFault("cast", error);
            this.close(`the link can't be opened: ${describeError(error)}`);
        }
    }

    private reportFault(kind: LinkFault["kind"], error: unknown): void {
        this.options.handlers.onFault?.(this, { kind, error });
    }

    private removePendingCall(id: number): PendingCall | undefined {
        const call = this.pendingCalls.get(id);
        if (call !== undefined) {
            this.pendingCalls.delete(id);
            call.timer.stop();
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

/**
 * Sends a one-way message over several links; it is encoded once. Returns whether a frame holds it; otherwise it is
 * dropped, and the first link reports it.
 */
export function castToAll(links: Link[], message: unknown): boolean {
    const [first, ...others] = links;
    if (others.length === 0) {
        return first?.cast(message) ?? true;
    }
    let encoded: Buffer;
    try {
        encoded = encodeCast(message);
    }
    catch (error) {
        if (!(error instanceof FrameError)) {
            throw error;
        }
        return first.cast(message);
    }
    links.forEach(link => link.cast(message, encoded));
    return true;
}

function encodeCast(message: unknown): Buffer {
    return encodeFrame({ t: "cast", m: message } satisfies LinkFrame);
}
