import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { ok, strictEqual } from "node:assert";
import { createServer } from "node:http";
import { Duplex } from "node:stream";
import { attachPacer } from "./attachPacer.js";
import { ChunkPacer, type PacedChunks } from "./chunkPacer.js";

const MS_PER_SECOND = 1000;
const STEP_MS = 20;

/** A peer that sends as long as it is read. */
class SimulatedStream {
    brought = 0;
    stops = 0;
    isStopped = false;
    readonly chunks: PacedChunks;

    constructor(pacer: ChunkPacer, private readonly perStep: number, private readonly size: number) {
        this.chunks = pacer.open({
            stopReading: () => {
                this.isStopped = true;
                this.stops++;
            },
            startReading: () => {
                this.isStopped = false;
            },
        });
    }

    /** Brings what one read of the socket holds. */
    bring(): void {
        if (this.isStopped) {
            return;
        }
        for (let at = 0; at < this.perStep; at++) {
            this.brought++;
            this.chunks.record(this.size);
        }
    }
}

let clock: Clock | undefined;
let pacer: ChunkPacer;
let streams: SimulatedStream[] = [];
let sound: SimulatedStream | undefined;
let caller: Duplex | undefined;

After({ tags: "@chunk-pacer" }, () => {
    clock?.uninstall();
    clock = undefined;
    sound = undefined;
    caller?.destroy();
    caller = undefined;
});

Given(
    "{int} streams that bring {int} chunks of {int} bytes at a time while they are read",
    (count: number, chunks: number, size: number) => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        pacer = new ChunkPacer();
        streams = Array.from({ length: count }, () => new SimulatedStream(pacer, chunks, size));
    },
);

Given("a sound stream that brings {int} chunks of {int} bytes every 20 ms", (chunks: number, size: number) => {
    sound = new SimulatedStream(pacer, chunks, size);
});

function advance(seconds: number): void {
    for (let at = 0; at < seconds * MS_PER_SECOND; at += STEP_MS) {
        [...streams, ...sound === undefined ? [] : [sound]].forEach(stream => stream.bring());
        clock?.tick(STEP_MS);
    }
}

When("{int} s pass for them", (seconds: number) => advance(seconds));

When("{int} s passes for them, and all end", (seconds: number) => {
    advance(seconds);
    streams.forEach(stream => stream.chunks.close());
});

Then("at most {int} chunks have come in all", (most: number) => {
    const brought = streams.reduce((sum, stream) => sum + stream.brought, 0);
    ok(brought <= most, `${brought} chunks have come`);
});

Then("each stream has brought at least {int} chunks", (least: number) => {
    const fewest = Math.min(...streams.map(stream => stream.brought));
    ok(fewest >= least, `one has brought ${fewest}`);
});

Then("the sound stream was never stopped", () => strictEqual(sound?.stops, 0));

Then("none is stopped", () => strictEqual(streams.filter(stream => stream.isStopped).length, 0));

/** Bytes of one read of a socket, and the chunks in it. */
const CHUNKS_PER_READ = 10_000;
const READ = Buffer.from("1\r\na\r\n".repeat(CHUNKS_PER_READ));
const TURNS = 60;

/** Reads of the caller's socket. */
let reads = 0;

/** The server's side of a connection whose caller sends without an end. */
class EndlessCaller extends Duplex {
    private hasHead = false;

    constructor() {
        super({ write: (_chunk, _encoding, confirm) => confirm() });
    }

    override _read(): void {
        setImmediate(() => {
            if (!this.hasHead) {
                this.hasHead = true;
                this.push("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n");
                return;
            }
            reads++;
            this.push(READ);
        });
    }

    setTimeout(): this {
        return this;
    }
}

async function pass(turns: number): Promise<void> {
    for (let turn = 0; turn < turns; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

Given(/^an HTTP server with a caller whose (consumed|discarded) body of single bytes has no end$/, (use: string) => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance"] });
    pacer = new ChunkPacer();
    streams = [];
    reads = 0;
    const server = createServer({ requestTimeout: 0 }, request => {
        attachPacer(request, pacer);
        if (use === "discarded") {
            request.resume();
        }
        else {
            request.on("data", () => undefined);
        }
    });
    caller = new EndlessCaller();
    server.emit("connection", caller);
});

When("no time passes", () => pass(TURNS));

When("{int} s pass for the server", { timeout: 30_000 }, async (seconds: number) => {
    for (let at = 0; at < seconds * MS_PER_SECOND; at += STEP_MS) {
        clock?.tick(STEP_MS);
        await pass(3);
    }
});

Then("the server has read at most {int} chunks", (most: number) => {
    ok(reads * CHUNKS_PER_READ <= most, `${reads * CHUNKS_PER_READ} chunks were read`);
});

Then("the server has read between {int} and {int} chunks", (least: number, most: number) => {
    const chunks = reads * CHUNKS_PER_READ;
    ok(chunks >= least && chunks <= most, `${chunks} chunks were read`);
});
