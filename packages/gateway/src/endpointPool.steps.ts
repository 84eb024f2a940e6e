import { After, Given, Then, When } from "@cucumber/cucumber";
import { ChunkPacer } from "@kumquathall/byte-collector";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { once } from "node:events";
import { type AddressInfo, createServer, type Server, Socket } from "node:net";
import { EndpointPool } from "./endpointPool.js";

/** Time for the client to read the bytes before the reset, which discards unread bytes, in milliseconds. */
const READ_MS = 30;

let server: Server | undefined;
let pool: EndpointPool | undefined;
let outcome = "";
let extraBytes = 0;
let onExtraBytes: () => void = () => undefined;

function buildResponse(description: string): string {
    const [kind, ...parts] = description.split(", ");
    const text = parts.includes("abcd") ? "abcd" : "";
    if (kind.startsWith("length")) {
        return `HTTP/1.1 200 OK\r\ncontent-length: ${kind.slice(7)}\r\n\r\n${text}`;
    }
    if (kind === "no length") {
        return `HTTP/1.1 200 OK\r\n\r\n${text}`;
    }
    if (kind === "chunks") {
        const closing = parts.includes("closing") ? "connection: close\r\n" : "";
        const last = parts.includes("last") ? "0\r\n\r\n" : "";
        return `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${closing}\r\n4\r\n${text}\r\n${last}`;
    }
    return kind === "garbage" ? "\u0000\u0001 no answer\r\n\r\n" : "";
}

After({ tags: "@endpoint-pool" }, () => {
    pool?.destroy(new Error("done"));
    server?.close();
});

Given(
    "an endpoint that responds with {string} and then ends the connection by a {word}",
    async (description: string, end: string) => {
        const respond = (socket: Socket) => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write(buildResponse(description));
                if (end === "break") {
                    // The client receives the bytes and the reset together.
                    socket.resetAndDestroy();
                    return;
                }
                setTimeout(() => end === "reset" ? socket.resetAndDestroy() : socket.end(), READ_MS);
            });
        };
        server = createServer(respond).listen(0, "127.0.0.1");
        await once(server, "listening");
    },
);

Given(
    /^an endpoint that responds and then sends (a response|garbage) on the idle connection$/,
    async (kind: string) => {
        const extra = buildResponse(kind === "garbage" ? "garbage" : "length 4, abcd");
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => {
                socket.write(buildResponse("length 4, abcd"));
                setTimeout(() => socket.write(extra), READ_MS);
            });
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
    },
);

When("a request is sent to it", async () => {
    const { port } = server?.address() as AddressInfo;
    pool = new EndpointPool(`127.0.0.1:${port}`, 1);
    extraBytes = 0;
    pool.onExtraBytes = () => {
        extraBytes++;
        onExtraBytes();
    };
    outcome = await new Promise(resolve => {
        pool?.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), isRepeatable: true }, {
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => resolve("complete"),
            onFailure: () => resolve("failed"),
        });
    });
});

Then("extra bytes are recorded once", async () => {
    if (extraBytes === 0) {
        await new Promise<void>(resolve => onExtraBytes = resolve);
    }
    strictEqual(extraBytes, 1);
});

Then("the attempt ends as {word}", (expected: string) => strictEqual(outcome, expected));

const MEGABYTE = 1_000_000;
/** After so many bytes, the endpoint gives up. */
const MAX_SENT_BYTES = 128 * MEGABYTE;
const OK_HEAD = "HTTP/1.1 200 OK\r\n";
const CHUNKED_HEAD = `${OK_HEAD}transfer-encoding: chunked\r\n\r\n`;
const PIECES = 10_000;
/** What comes first of a response without an end, and what follows again and again. */
const ENDLESS: Record<string, { first: string; then: string }> = {
    "chunks of a byte": { first: CHUNKED_HEAD, then: "1\r\nx\r\n".repeat(PIECES) },
    "chunks of a byte with a chunk extension": { first: CHUNKED_HEAD, then: "1;a=b\r\nx\r\n".repeat(PIECES) },
    "a reason phrase": { first: "HTTP/1.1 200 ", then: "x".repeat(PIECES) },
    "a chunk extension": { first: `${CHUNKED_HEAD}1;`, then: "x".repeat(PIECES) },
    "a chunk size": { first: CHUNKED_HEAD, then: "0".repeat(PIECES) },
    "interim responses": { first: "", then: "HTTP/1.1 102 Processing\r\n\r\n".repeat(PIECES) },
    "a trailer": { first: `${CHUNKED_HEAD}0\r\n`, then: "a: b\r\n".repeat(PIECES) },
};
let sentBytes = 0;
/** Bytes that were handed to the client's parser, and bytes that have arrived. */
let parsedBytes = 0;
let arrivedBytes = 0;

Given(/^an endpoint whose response brings (.+) without an end$/, async (kind: string) => {
    sentBytes = 0;
    const respond = (socket: Socket) => {
        const send = () => {
            while (!socket.destroyed) {
                if (sentBytes >= MAX_SENT_BYTES) {
                    socket.end();
                    return;
                }
                sentBytes += ENDLESS[kind].then.length;
                if (!socket.write(ENDLESS[kind].then)) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(ENDLESS[kind].first);
            send();
        });
    };
    server = createServer(respond).listen(0, "127.0.0.1");
    await once(server, "listening");
});

When("it is read at the pace of small chunks until {int} chunks have come", async (count: number) => {
    const { port } = server?.address() as AddressInfo;
    const read = Reflect.get(Socket.prototype, "read") as (size?: number) => Buffer | null;
    const client = new Set<Socket>();
    parsedBytes = 0;
    Socket.prototype.read = function(this: Socket, size?: number): unknown {
        const chunk = read.call(this, size);
        if (this.remotePort === port) {
            client.add(this);
            parsedBytes += chunk?.length ?? 0;
        }
        return chunk;
    };
    try {
        pool = new EndpointPool(`127.0.0.1:${port}`, 1, new ChunkPacer({ chunksPerSecond: 40_000, burst: 100 }));
        let chunks = 0;
        await new Promise<void>((resolve, reject) => {
            const attempt = pool?.send(
                { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), isRepeatable: true },
                {
                    onHead: () => undefined,
                    onData: () => {
                        chunks++;
                        if (chunks === count) {
                            attempt?.abort();
                            resolve();
                        }
                    },
                    onEnd: () => reject(new Error("the response has ended")),
                    onFailure: reject,
                },
            );
        });
        arrivedBytes = [...client].reduce((sum, socket) => sum + socket.bytesRead, 0);
    }
    finally {
        Socket.prototype.read = read;
    }
});

Then("no more bytes were read than have arrived", () => {
    ok(parsedBytes <= arrivedBytes, `${parsedBytes} bytes were read, ${arrivedBytes} have arrived`);
});

Then("the endpoint has sent less than {int} MB", (megabytes: number) => {
    ok(sentBytes < megabytes * MEGABYTE, `it has sent ${sentBytes} bytes`);
});

const STAMP = "request-id: r\r\nserver-stamp: s\r\n";
const BODY = "content-length: 4\r\n\r\nabcd";
const RESPONSES: Record<string, string> = {
    "with a length": `HTTP/1.1 200 OK\r\n${STAMP}${BODY}`,
    "in chunks": `HTTP/1.1 200 OK\r\n${STAMP}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n`,
    "after early hints": `HTTP/1.1 103 Early Hints\r\n${STAMP}\r\nHTTP/1.1 200 OK\r\n${STAMP}${BODY}`,
    "after early hints that announce a close":
        `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n${STAMP}\r\nHTTP/1.1 200 OK\r\n${STAMP}${BODY}`,
    "that announces a close": `HTTP/1.1 200 OK\r\nconnection: close\r\n${STAMP}${BODY}`,
    "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${STAMP}${BODY}`,
};

/** Sends the first `bytes` bytes of a response and ends the connection; resolves with how the attempt ends. */
async function sendCut(response: string, bytes: number, end: string): Promise<string> {
    const cutServer = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(response.slice(0, bytes));
            if (end === "break") {
                socket.resetAndDestroy();
                return;
            }
            setTimeout(() => end === "reset" ? socket.resetAndDestroy() : socket.end(), READ_MS);
        });
    }).listen(0, "127.0.0.1");
    await once(cutServer, "listening");
    const cutPool = new EndpointPool(`127.0.0.1:${(cutServer.address() as AddressInfo).port}`, 1);
    try {
        return await new Promise<string>(resolve => {
            cutPool.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), isRepeatable: true }, {
                onHead: () => undefined,
                onData: () => undefined,
                onEnd: () => resolve("complete"),
                onFailure: () => resolve("failed"),
            });
        });
    }
    finally {
        cutPool.destroy(new Error("done"));
        cutServer.close();
    }
}

Then(
    /^no response (.+) that an endpoint ends by a (\w+) before its last byte completes its attempt$/,
    { timeout: 60_000 },
    async (what: string, end: string) => {
        const response = RESPONSES[what];
        const cuts = Array.from({ length: response.length }, (_, at) => at);
        const outcomes = await Promise.all(cuts.map(bytes => sendCut(response, bytes, end)));
        deepStrictEqual(cuts.filter(at => outcomes[at] !== "failed").map(at => response.slice(0, at)), []);
    },
);

Then(/^the whole response (.+) is taken as (complete|failed)$/, async (what: string, expected: string) => {
    strictEqual(await sendCut(RESPONSES[what], RESPONSES[what].length, "close"), expected);
});
