import { parseAddress } from "@kumquathall/link";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { Registry } from "prom-client";

/** HTTP server for liveness (`/live`), readiness (`/ready`) and metrics (`/metrics`). */
export class OperationsServer {
    private constructor(private readonly server: Server) {}

    /** Listens on `address` (`host:port`). Rejects if the address is in use or not available. */
    static async listen(address: string, metrics: Registry, isReady: () => boolean): Promise<OperationsServer> {
        const server = createServer((request, response) =>
            void handleRequest(request.url ?? "/", response, metrics, isReady)
        );
        const { host, port } = parseAddress(address);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, host, () => resolve());
        });
        return new OperationsServer(server);
    }

    /** Closes all connections and stops listening. */
    close(): Promise<void> {
        this.server.closeAllConnections();
        return new Promise(resolve => this.server.close(() => resolve()));
    }
}

async function handleRequest(
    url: string,
    response: ServerResponse,
    metrics: Registry,
    isReady: () => boolean,
): Promise<void> {
    switch (url) {
        case "/live":
            response.writeHead(200, { "content-type": "text/plain" }).end("live\n");
            return;
        case "/ready":
            response.writeHead(isReady() ? 200 : 503, { "content-type": "text/plain" }).end(
                isReady() ? "ready\n" : "not ready\n",
            );
            return;
        case "/metrics":
            response.writeHead(200, { "content-type": metrics.contentType }).end(await metrics.metrics());
            return;
        default:
            response.writeHead(404, { "content-type": "text/plain" }).end("not found; use /live, /ready or /metrics\n");
    }
}
