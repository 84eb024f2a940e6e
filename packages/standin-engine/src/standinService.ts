import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readBody, sendJson } from "./httpBody.js";

export interface PlainServiceOptions {
    host?: string;
    port?: number;
    /** Duration of one order, in milliseconds. */
    orderMs?: number;
}

interface OrderBody {
    orderId?: string;
}

/**
 * A plain service: `POST /orders` and `POST /filings` run an order, `GET /stock/...` and `GET /status/...` are lookups.
 * It counts the runs of each order.
 */
export class StandinService {
    private readonly server: Server;
    private readonly runs = new Map<string, number>();
    private port = 0;

    private constructor(private readonly options: PlainServiceOptions) {
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    static async listen(options: PlainServiceOptions = {}): Promise<StandinService> {
        const service = new StandinService(options);
        await new Promise<void>((resolve, reject) => {
            service.server.once("error", reject);
            service.server.listen(options.port ?? 0, options.host ?? "127.0.0.1", () => resolve());
        });
        const bound = service.server.address();
        service.port = typeof bound === "object" && bound !== null ? bound.port : 0;
        return service;
    }

    getUrl(): string {
        return `http://${this.options.host ?? "127.0.0.1"}:${this.port}`;
    }

    /** Number of times that an order has run. */
    countRuns(orderId: string): number {
        return this.runs.get(orderId) ?? 0;
    }

    async close(): Promise<void> {
        this.server.closeAllConnections();
        await new Promise(resolve => this.server.close(resolve));
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request);
        const url = request.url ?? "/";
        if (request.method === "POST" && (url === "/orders" || url === "/filings")) {
            await this.runOrder(body, response);
        }
        else if (request.method === "GET" && (url.startsWith("/stock/") || url.startsWith("/status/"))) {
            sendJson(response, 200, { item: url, available: url.length % 7 });
        }
        else if (request.method === "GET" && url === "/runs") {
            sendJson(response, 200, Object.fromEntries(this.runs));
        }
        else if (url === "/state") {
            sendJson(response, 200, {});
        }
        else {
            sendJson(response, 404, { error: "no such path" });
        }
    }

    private async runOrder(body: Buffer, response: ServerResponse): Promise<void> {
        let order: OrderBody;
        try {
            order = JSON.parse(body.toString("utf8")) as OrderBody;
        }
        catch {
            sendJson(response, 400, { error: "not JSON" });
            return;
        }
        const id = order.orderId ?? "none";
        const run = (this.runs.get(id) ?? 0) + 1;
        this.runs.set(id, run);
        if ((this.options.orderMs ?? 0) > 0) {
            await new Promise(resolve => setTimeout(resolve, this.options.orderMs));
        }
        sendJson(response, 201, { orderId: id, run });
    }
}
