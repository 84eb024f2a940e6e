import type { Logger } from "@kumquathall/logger";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { GatewayMetrics } from "./metrics.js";

/** Why this process closes a caller's connection. */
export const CloseReason = {
    /** No request arrived within the idle limit. */
    Idle: "idle",
    /** The gateway is stopping, and the connection has no request. */
    Stopping: "stopping",
    /** The gateway's stop has no time left. */
    StopEnded: "stop-ended",
    /** The bytes received are no HTTP request. */
    BadRequest: "bad-request",
    /** The head of a request did not arrive in time. */
    HeadLate: "head-late",
    /** A response that has begun can't be completed. */
    Incomplete: "incomplete",
    /** The body of a refused request goes on. */
    BodyTooLarge: "body-too-large",
} as const;
export type CloseReasonValue = (typeof CloseReason)[keyof typeof CloseReason];

export interface CallerConnectionsOptions {
    server: Server;
    logger: Logger;
    metrics: GatewayMetrics;
    isStopping: () => boolean;
}

/** Error code of Node's HTTP server for a head that does not arrive within `headersTimeout`. */
const HEAD_LATE_CODE = "ERR_HTTP_REQUEST_TIMEOUT";
/** Statuses with which Node's HTTP server answers bytes that it can't parse, by error code; 400 for all others. */
const STATUS_LINES: Record<string, string> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    HPE_CHUNK_EXTENSIONS_OVERFLOW: "413 Payload Too Large",
    [HEAD_LATE_CODE]: "408 Request Timeout",
};
const BAD_REQUEST_LINE = "400 Bad Request";

interface Connection {
    /** Responses that have not left the process, oldest first. */
    unfinished: Set<ServerResponse>;
    /** A response has left the process; the idle limit holds from then on. */
    hasServed: boolean;
    closeReason: CloseReasonValue | undefined;
    /** Why it is closed once the requests that were read whole have their answers. */
    closesFor: CloseReasonValue | undefined;
}

/** Callers' connections with their unfinished responses, and why this process closes them. */
export class CallerConnections {
    private readonly connections = new Map<Socket, Connection>();

    constructor(private readonly options: CallerConnectionsOptions) {
        const { server } = options;
        server.on("connection", (socket: Socket) => this.addSocket(socket));
        server.on("clientError", (error: Error & { code?: string }, socket) => {
            this.handleClientError(error, socket as Socket);
        });
        server.on("timeout", (socket: Socket) => this.closeIfIdle(socket, CloseReason.Idle));
    }

    /**
     * Adds a request that has arrived; its response counts as unfinished until it has left the process. Returns `false`
     * for a request that must not be run, since the response to the one before it ends the connection.
     */
    addRequest(request: IncomingMessage, response: ServerResponse): boolean {
        const { socket } = request;
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            return true;
        }
        const { unfinished } = connection;
        if ([...unfinished].some(isLast)) {
            this.options.logger.debug("request-ignored", { reason: "an earlier response ends the connection" });
            request.resume();
            return false;
        }
        unfinished.add(response);
        response.on("close", () => {
            unfinished.delete(response);
            connection.hasServed = true;
            if (connection.closesFor !== undefined && !hasWholeRequest(connection)) {
                this.close(socket, connection.closesFor);
            }
        });
        return true;
    }

    /** Announces on each connection that it closes after the newest response under way. */
    announceClose(): void {
        for (const { unfinished } of this.connections.values()) {
            const newest = [...unfinished].at(-1);
            if (newest !== undefined && !newest.headersSent) {
                newest.setHeader("connection", "close");
            }
        }
    }

    /** Number of responses that have not left the process, over all connections. */
    countUnfinished(): number {
        return [...this.connections.values()].reduce((sum, connection) => sum + connection.unfinished.size, 0);
    }

    /** Why this process has closed a request's connection; `undefined` if the caller closed it or it is open. */
    findCloseReason(request: IncomingMessage): CloseReasonValue | undefined {
        return this.connections.get(request.socket)?.closeReason;
    }

    /**
     * Sets how long connections may be idle, in milliseconds. A longer time holds at once, also for connections that are
     * idle; a shorter one from the next request of each connection on, since callers may not know of it yet.
     */
    applyIdleLimit(limitMs: number): void {
        const { server } = this.options;
        const isLonger = limitMs > server.keepAliveTimeout;
        server.keepAliveTimeout = limitMs;
        for (const [socket, { unfinished, hasServed }] of this.connections) {
            if (isLonger && hasServed && unfinished.size === 0) {
                socket.setTimeout(limitMs);
            }
        }
    }

    /** Closes a connection at once. Responses that have not left the process are lost. */
    close(socket: Socket, reason: CloseReasonValue): void {
        this.recordClose(socket, reason);
        socket.destroy();
    }

    /**
     * Closes the connections without a request or a response that has not left the process. Node's own
     * `closeIdleConnections` counts a response as ended once it is complete, sent or not.
     */
    closeIdle(reason: CloseReasonValue): void {
        for (const socket of this.connections.keys()) {
            this.closeIfIdle(socket, reason);
        }
    }

    /** Closes all connections at once. */
    closeAll(reason: CloseReasonValue): void {
        [...this.connections.keys()].forEach(socket => this.close(socket, reason));
    }

    private addSocket(socket: Socket): void {
        this.connections.set(socket, {
            unfinished: new Set(),
            hasServed: false,
            closeReason: undefined,
            closesFor: undefined,
        });
        // Responses report the close of their connection in the same turn, and ask for its reason.
        socket.on("close", () => setImmediate(() => this.connections.delete(socket)));
    }

    /** Closes a connection without a request, once the bytes that wait at its socket have been read. */
    private closeIfIdle(socket: Socket, reason: CloseReasonValue): void {
        const { bytesRead } = socket;
        setImmediate(() => {
            if (this.connections.get(socket)?.unfinished.size === 0 && socket.bytesRead === bytesRead) {
                this.close(socket, reason);
            }
        });
    }

    private handleClientError(error: Error & { code?: string }, socket: Socket): void {
        const { logger, metrics } = this.options;
        const code = error.code ?? "";
        const isParseError = code.startsWith("HPE_") || code === HEAD_LATE_CODE;
        if (!isParseError) {
            socket.destroy(error);
            return;
        }
        const connection = this.connections.get(socket);
        if (connection === undefined || connection.closesFor !== undefined) {
            return;
        }
        connection.closesFor = code === HEAD_LATE_CODE ? CloseReason.HeadLate : CloseReason.BadRequest;
        metrics.parseErrors.inc({ code });
        logger.debug("request-unreadable", { code, message: error.message });
        if (hasWholeRequest(connection)) {
            return;
        }
        const hasBegun = [...connection.unfinished].some(response => response.headersSent);
        if (socket.writable && !hasBegun) {
            socket.write(`HTTP/1.1 ${STATUS_LINES[code] ?? BAD_REQUEST_LINE}\r\nConnection: close\r\n\r\n`);
        }
        this.close(socket, connection.closesFor);
    }

    private recordClose(socket: Socket, reason: CloseReasonValue): void {
        const connection = this.connections.get(socket);
        if (connection === undefined || connection.closeReason !== undefined) {
            return;
        }
        connection.closeReason = reason;
        const { logger, metrics, isStopping } = this.options;
        const unfinished = connection.unfinished.size;
        metrics.connectionsClosed.inc({ reason });
        metrics.responsesCut.inc({ reason }, unfinished);
        if (unfinished > 0) {
            logger.warn("connection-closed", { reason, unfinished, isStopping: isStopping() });
        }
    }
}

/** Whether a request of the connection has been read whole and has no complete response. */
function hasWholeRequest({ unfinished }: Connection): boolean {
    return [...unfinished].some(response => response.req.complete);
}

/** Whether the connection ends after the response. */
function isLast(response: ServerResponse): boolean {
    return !response.shouldKeepAlive || response.getHeader("connection") === "close";
}
