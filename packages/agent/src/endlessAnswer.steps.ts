import { After, Given, Then, When } from "@cucumber/cucumber";
import { ok, rejects } from "node:assert";
import { EventEmitter, once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createTcpServer, type Server as TcpServer } from "node:net";
import { type EngineClient, EngineError, type EngineResponse, PlainEngineClient } from "./engineClient.js";

const CHUNK_BYTES = 64 * 1024;
const LIMIT_BYTES = 64_000_000;

let server: Server | undefined;
let tcpServer: TcpServer | undefined;
let client: EngineClient | undefined;
let sentBytes = 0;

After({ tags: "@agent-endless-answer" }, async () => {
    tcpServer?.close();
    server?.close();
    server?.closeAllConnections();
    await client?.close();
});

/** Writes until the connection is closed or the limit is exceeded. */
function sendChunks(response: ServerResponse): void {
    let isDrained = true;
    while (isDrained && !response.destroyed && sentBytes < LIMIT_BYTES) {
        isDrained = response.write("x".repeat(CHUNK_BYTES));
        sentBytes += CHUNK_BYTES;
    }
    if (sentBytes >= LIMIT_BYTES) {
        response.destroy();
        return;
    }
    response.once("drain", () => sendChunks(response));
}

Given("an engine whose responses never end", async () => {
    sentBytes = 0;
    server = createServer((_request, response) => sendChunks(response)).listen(0, "127.0.0.1");
    await once(server, "listening");
    client = new PlainEngineClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
});

Given("an engine whose responses have the status {word}", async (status: string) => {
    const plain = createTcpServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(`HTTP/1.1 ${status} \r\ncontent-length: 2\r\n\r\nok`));
    }).listen(0, "127.0.0.1");
    tcpServer = plain;
    await once(plain, "listening");
    client = new PlainEngineClient(`http://127.0.0.1:${(plain.address() as AddressInfo).port}`);
});

Then("the agent's client reports that a request has no response", async () => {
    await rejects(async () => await runRequest(), EngineError);
});

function runRequest(): Promise<EngineResponse> | undefined {
    return client?.run({
        kind: "run",
        requestId: "r",
        institution: "i",
        service: "s",
        groupId: undefined,
        fencing: undefined,
        remainingMs: 10_000,
        priority: 1,
        method: "GET",
        path: "/",
        headers: [],
        body: new Uint8Array(),
        isStream: false,
        ledgerKey: undefined,
        digest: "d",
        fingerprint: "f",
        isSuspect: false,
        credit: 1,
    }, new EventEmitter());
}

When("the agent's client reads a whole response", { timeout: 20_000 }, async () => {
    const response = await runRequest();
    await response?.readBody().catch(() => undefined);
});

Then("the engine has sent less than 64 MB when its connection is closed", () => {
    ok(sentBytes < LIMIT_BYTES, `${sentBytes} bytes were read`);
});
