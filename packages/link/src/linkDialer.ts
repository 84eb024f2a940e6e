import { connect as connectTcp, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { Link, LinkError, type LinkOptions } from "./link.js";
import type { Address, TlsMaterial } from "./transport.js";

export interface LinkDialerOptions extends LinkOptions {
    address: Address;
    /** Read anew at each attempt, so that replaced certificates are used without a restart. */
    tls?: () => TlsMaterial;
    /** First pause between attempts, in milliseconds. */
    minBackoffMs?: number;
    /** Longest pause between attempts, in milliseconds. */
    maxBackoffMs?: number;
}

const DEFAULT_MIN_BACKOFF_MS = 50;
const DEFAULT_MAX_BACKOFF_MS = 1000;
const CONNECT_TIMEOUT_MS = 1500;

/** Keeps one link to an address, dialling again with jittered backoff whenever it is lost. */
export class LinkDialer {
    private link: Link | undefined;
    private socket: Socket | undefined;
    private timer: NodeJS.Timeout | undefined;
    private backoffMs: number;
    private isClosed = false;

    constructor(private readonly options: LinkDialerOptions) {
        this.backoffMs = options.minBackoffMs ?? DEFAULT_MIN_BACKOFF_MS;
        this.dial();
    }

    /** The open link whose peer has greeted, if there is one. */
    getLink(): Link | undefined {
        return this.link?.isOpen() === true && this.link.peer !== undefined ? this.link : undefined;
    }

    /** Sends a message and waits for its answer; rejects at once when there is no link. */
    call(message: unknown, timeoutMs?: number): Promise<unknown> {
        const link = this.getLink();
        const { host, port } = this.options.address;
        return link === undefined
            ? Promise.reject(new LinkError(`no link to ${host}:${port}`))
            : link.call(message, timeoutMs);
    }

    /** Sends a message without an answer; dropped when there is no link. */
    cast(message: unknown): void {
        this.getLink()?.cast(message);
    }

    /** Closes the link and stops dialling. */
    close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
        this.socket?.destroy();
        this.link?.close("dialer closed");
    }

    private dial(): void {
        if (this.isClosed) {
            return;
        }
        const tls = this.options.tls?.();
        const { host, port } = this.options.address;
        const socket: Socket = tls === undefined
            ? connectTcp({ host, port })
            : connectTls({
                host,
                port,
                cert: tls.certificate,
                key: tls.key,
                ca: tls.authority,
                checkServerIdentity: () => undefined,
            });
        this.socket = socket;
        const giveUp = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
        let isConnected = false;
        const scheduleOnce = () => {
            clearTimeout(giveUp);
            if (!isConnected) {
                this.scheduleDial();
            }
        };
        socket.once("error", () => undefined);
        socket.once("close", scheduleOnce);
        socket.once(tls === undefined ? "connect" : "secureConnect", () => {
            isConnected = true;
            clearTimeout(giveUp);
            this.openLink(socket);
        });
    }

    private openLink(socket: Socket): void {
        const handlers = this.options.handlers;
        this.link = new Link(socket, {
            ...this.options,
            handlers: {
                ...handlers,
                onOpen: link => {
                    this.backoffMs = this.options.minBackoffMs ?? DEFAULT_MIN_BACKOFF_MS;
                    handlers.onOpen?.(link);
                },
                onClose: (link, reason) => {
                    handlers.onClose?.(link, reason);
                    this.scheduleDial();
                },
            },
        });
    }

    private scheduleDial(): void {
        if (this.isClosed) {
            return;
        }
        const pauseMs = this.backoffMs * (0.5 + Math.random());
        this.backoffMs = Math.min(this.backoffMs * 2, this.options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS);
        this.timer = setTimeout(() => this.dial(), pauseMs);
    }
}
