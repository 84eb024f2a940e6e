import { connect as connectTcp, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { Link, LinkError, type LinkOptions } from "./link.js";
import type { Address, TlsMaterial } from "./transport.js";

export interface LinkDialerOptions extends LinkOptions {
    address: Address;
    /** Called for each connection attempt, so that replaced certificates are used without a restart. */
    tls?: () => TlsMaterial;
    /** Initial backoff between connection attempts, in milliseconds. */
    minBackoffMs?: number;
    /** Maximum backoff between connection attempts, in milliseconds. */
    maxBackoffMs?: number;
}

const DEFAULT_MIN_BACKOFF_MS = 50;
const DEFAULT_MAX_BACKOFF_MS = 1000;
const CONNECT_TIMEOUT_MS = 1500;

/** Keeps a link to an address open. Reconnects with exponential backoff and jitter whenever it is lost. */
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

    /** Returns the open link if the peer has identified itself. */
    getLink(): Link | undefined {
        return this.link?.isOpen() === true && this.link.peer !== undefined ? this.link : undefined;
    }

    /** Sends a message and waits for the answer. Rejects immediately if there is no open link. */
    call(message: unknown, timeoutMs?: number): Promise<unknown> {
        const link = this.getLink();
        const { host, port } = this.options.address;
        return link === undefined
            ? Promise.reject(new LinkError(`no open link to ${host}:${port}`))
            : link.call(message, timeoutMs);
    }

    /** Sends a one-way message. It is dropped if there is no open link. */
    cast(message: unknown): void {
        this.getLink()?.cast(message);
    }

    /** Closes the link and stops reconnecting. */
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
        const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
        let isConnected = false;
        const scheduleUnlessConnected = () => {
            clearTimeout(connectTimer);
            if (!isConnected) {
                this.scheduleDial();
            }
        };
        socket.once("error", () => undefined);
        socket.once("close", scheduleUnlessConnected);
        socket.once(tls === undefined ? "connect" : "secureConnect", () => {
            isConnected = true;
            clearTimeout(connectTimer);
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
        const delayMs = this.backoffMs * (0.5 + Math.random());
        this.backoffMs = Math.min(this.backoffMs * 2, this.options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS);
        this.timer = setTimeout(() => this.dial(), delayMs);
    }
}
