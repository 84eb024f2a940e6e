import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { ByteBudget } from "./byteBudget.js";
import { ByteCollector } from "./byteCollector.js";

const SEED = 11;
const MAX_BYTES = 3000;
const MAX_HELD_BYTES = 4000;

let sent: Buffer;
let collector: ByteCollector;
let budget: ByteBudget;

When("{int} bytes are collected in chunks of {int}", (bytes: number, size: number) => {
    budget = new ByteBudget(Number.POSITIVE_INFINITY);
    collector = new ByteCollector({ maxBytes: bytes, budget });
    sent = Buffer.from(Array.from({ length: bytes }, (_, at) => at % 251));
    for (let at = 0; at < bytes; at += size) {
        ok(collector.add(sent.subarray(at, at + size)));
    }
});

Then("they are joined unchanged", () => deepStrictEqual(Buffer.compare(collector.join(), sent), 0));

Then("at most {int} bytes were held for them", (most: number) => {
    ok(budget.getHeld() <= most, `${budget.getHeld()} bytes are held`);
    collector.close();
    strictEqual(budget.getHeld(), 0);
});

Then("any chunks within the limits are collected unchanged, and nothing is held after a close", () => {
    fc.assert(
        fc.property(
            fc.array(fc.array(fc.uint8Array({ maxLength: 900 }), { maxLength: 8 }), { maxLength: 4 }),
            peers => {
                budget = new ByteBudget(MAX_HELD_BYTES);
                const collectors = peers.map(chunks => {
                    const peer = new ByteCollector({ maxBytes: MAX_BYTES, budget });
                    const added = Buffer.concat(chunks.filter(chunk => peer.add(chunk)));
                    ok(added.length <= MAX_BYTES && budget.getHeld() <= MAX_HELD_BYTES);
                    deepStrictEqual(Buffer.compare(peer.join(), added), 0);
                    return peer;
                });
                collectors.forEach(peer => peer.close());
                strictEqual(budget.getHeld(), 0);
            },
        ),
        { seed: SEED, numRuns: 300 },
    );
});
