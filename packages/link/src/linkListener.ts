import { createServer as createTcpServer, type Server, type Socket } from "node:net";
import { createServer as createTlsServer, type Server as TlsServer } from "node:tls";
import { Link, type LinkOptions } from "./link.js";
import type { Address, TlsMaterial } from "./transport.js";

export interface LinkListenerOptions extends LinkOptions {
    address: Address;
    tls?: TlsMaterial;
}

/** Accepts links from peers. */
export class LinkListener {
    readonly links = new Set<Link>();
    private readonly server: Server;

    private constructor(private readonly options: LinkListenerOptions) {
        const accept = (socket: Socket) => this.acceptSocket(socket);
        this.server = options.tls === undefined ? createTcpServer(accept) : createTlsServer(
            {
                cert: options.tls.certificate,
                key: options.tls.key,
                ca: options.tls.authority,
                requestCert: true,
                rejectUnauthorized: true,
            },
            accept,
        );
    }

    /** Starts listening. Resolves once the port is bound. */
    static async listen(options: LinkListenerOptions): Promise<LinkListener> {
        const listener = new LinkListener(options);
        await new Promise<void>((resolve, reject) => {
            listener.server.once("error", reject);
            listener.server.listen(options.address.port, options.address.host, () => resolve());
        });
        return listener;
    }

    /** Returns the bound port. It differs from the configured port if that is 0. */
    getPort(): number {
        const bound = this.server.address();
        return typeof bound === "object" && bound !== null ? bound.port : this.options.address.port;
    }

    /** Replaces the certificate, key and authority for new links. Open links are kept. */
    setTls(tls: TlsMaterial): void {
        if (this.options.tls !== undefined) {
            (this.server as TlsServer).setSecureContext({ cert: tls.certificate, key: tls.key, ca: tls.authority });
        }
    }

    /** Stops listening and closes all links. */
    close(): void {
        this.server.close();
        for (const link of this.links) {
            link.close("listener closed");
        }
    }

    private acceptSocket(socket: Socket): void {
        const handlers = this.options.handlers;
        const link = new Link(socket, {
            ...this.options,
            handlers: {
                ...handlers,
                onClose: (closed, reason) => {
                    this.links.delete(closed);
                    handlers.onClose?.(closed, reason);
                },
            },
        });
        this.links.add(link);
    }
}
