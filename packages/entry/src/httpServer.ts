import { parseAddress } from "@kumquathall/link";
import { readFileSync } from "node:fs";
import { createServer, type RequestListener, type Server } from "node:http";
import { createServer as createSecureServer } from "node:https";

export interface HttpServerOptions {
    address: string;
    httpsFiles: { certificateFile: string; keyFile: string } | undefined;
    requestTimeoutMs: number;
    listener: RequestListener;
}

const MAX_HEADER_BYTES = 16 * 1024;
const CERTIFICATE_RELOAD_INTERVAL_MS = 5000;

/** HTTP or HTTPS server for callers and operators. */
export class HttpServer {
    private certificateTimer: NodeJS.Timeout | undefined;

    private constructor(private readonly server: Server) {}

    static async listen(options: HttpServerOptions): Promise<HttpServer> {
        const limits = { maxHeaderSize: MAX_HEADER_BYTES, insecureHTTPParser: false, keepAliveTimeout: 60_000 };
        const timeouts = { headersTimeout: options.requestTimeoutMs, requestTimeout: options.requestTimeoutMs * 2 };
        const server = options.httpsFiles === undefined
            ? createServer({ ...limits, ...timeouts }, options.listener)
            : createSecureServer({ ...limits, ...timeouts, ...readFiles(options.httpsFiles) }, options.listener);
        const httpServer = new HttpServer(server);
        const { host, port } = parseAddress(options.address);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => resolve());
        });
        httpServer.watchCertificate(options);
        return httpServer;
    }

    /** Stops accepting connections and closes idle ones. Active connections may finish. */
    stopAccepting(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    close(): void {
        clearInterval(this.certificateTimer);
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Reloads the certificate files periodically, so that new connections use replaced files without a restart. */
    private watchCertificate(options: HttpServerOptions): void {
        const { httpsFiles } = options;
        if (httpsFiles === undefined || !("setSecureContext" in this.server)) {
            return;
        }
        const server = this.server as Server & { setSecureContext: (files: { cert: string; key: string }) => void };
        this.certificateTimer = setInterval(
            () => server.setSecureContext(readFiles(httpsFiles)),
            CERTIFICATE_RELOAD_INTERVAL_MS,
        );
        this.certificateTimer.unref();
    }
}

function readFiles(files: { certificateFile: string; keyFile: string }): { cert: string; key: string } {
    return { cert: readFileSync(files.certificateFile, "utf8"), key: readFileSync(files.keyFile, "utf8") };
}
