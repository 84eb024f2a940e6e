import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { OutputBuffer } from "./outputBuffer.js";

const FULL_CREDIT = 1_000_000;

let buffer: OutputBuffer;
let arrived: Buffer;
let sent: { sequence: number; data: Uint8Array }[] = [];

function sendAll(): void {
    for (let next = buffer.takeNext(); next !== undefined; next = buffer.takeNext()) {
        sent.push(next);
    }
}

Given("a response buffer with {int} bytes of credit", (credit: number) => {
    buffer = new OutputBuffer(credit);
    sent = [];
});

When(
    "{int} bytes arrive in pieces of {int}, of which {int} arrive before each send",
    (bytes: number, size: number, beforeSend: number) => {
        arrived = Buffer.from(Array.from({ length: bytes }, (_, at) => at % 251));
        let waiting = 0;
        for (let at = 0; at < bytes; at += size) {
            const piece = arrived.subarray(at, at + size);
            buffer.push(piece);
            waiting += piece.length;
            if (waiting >= beforeSend) {
                waiting = 0;
                sendAll();
            }
        }
    },
);

Then("at most {int} chunks are held, at a cost of less than {int} bytes", (chunks: number, bytes: number) => {
    ok(buffer.countChunks() <= chunks, `${buffer.countChunks()} chunks are held`);
    ok(buffer.getBytes() < bytes, `${buffer.getBytes()} bytes are held`);
});

Then("the chunks that are sent in all hold the bytes unchanged and are numbered without a gap", () => {
    buffer.addCredit(FULL_CREDIT);
    sendAll();
    ok(buffer.isFlushed());
    strictEqual(Buffer.compare(Buffer.concat(sent.map(chunk => chunk.data)), arrived), 0);
    deepStrictEqual(sent.map(chunk => chunk.sequence), sent.map((_, at) => at));
});

Then("at least {int} chunks are counted as more than {int} bytes", (chunks: number, bytes: number) => {
    ok(buffer.countChunks() >= chunks, `${buffer.countChunks()} chunks are held`);
    ok(buffer.getBytes() > bytes, `${buffer.getBytes()} bytes are counted`);
});

Then("all of that is freed once the chunks that were sent are dropped", () => {
    const held = buffer.getBytes();
    strictEqual(buffer.dropSent(), held);
    strictEqual(buffer.getBytes(), 0);
});
