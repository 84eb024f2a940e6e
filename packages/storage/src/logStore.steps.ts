import { Given, Then, When } from "@cucumber/cucumber";
import type { LogEntry } from "@kumquathall/types";
import { match, rejects, strictEqual } from "node:assert";
import { LogStore, type RecoveredState } from "./logStore.js";
import { MemoryDisk } from "./memoryDisk.js";

const LOG = "log-0000000000000001";

let disk: MemoryDisk;
let store: LogStore<string>;
let entries: LogEntry<string>[];

function buildEntry(index: number): LogEntry<string> {
    return { index, term: 1, payload: { kind: "commands", commands: [`command ${index}`] } };
}

async function reopen(): Promise<RecoveredState<string>> {
    return (await LogStore.open<string>({ disk })).recovered;
}

Given("a log in memory with {int} synced entries", async (count: number) => {
    disk = new MemoryDisk();
    store = (await LogStore.open<string>({ disk })).store;
    entries = Array.from({ length: count }, (_, at) => buildEntry(at + 1));
    for (const entry of entries) {
        await store.append({ term: 1, votedFor: "a" }, [entry]);
    }
});

When(
    "{int} entry is appended without a sync and the disk crashes after {int} bytes of it",
    async (_count: number, bytes: number) => {
        disk.failNextSync = true;
        await rejects(store.append(undefined, [buildEntry(entries.length + 1)]));
        disk.crash(bytes);
    },
);

When("a byte in the middle of the log is inverted", async () => {
    const size = (await disk.read(LOG)).length;
    disk.corrupt(LOG, Math.floor(size / 2));
});

When("the next sync fails", () => {
    disk.failNextSync = true;
});

When("a snapshot up to entry {int} is stored and a segment is started", async (index: number) => {
    await store.writeSnapshot({ index, term: 1, members: ["a"], data: Buffer.from("state") });
    await store.startSegment(index, { term: 1, votedFor: "a" }, entries.slice(index));
});

Then("the log opens with {int} entries and cuts off {int} bytes", async (count: number, bytes: number) => {
    const recovered = await reopen();
    strictEqual(recovered.entries.length, count);
    strictEqual(recovered.cutBytes, bytes);
    strictEqual(recovered.hardState.votedFor, "a");
});

Then("opening the log is refused with the message {string}", async (message: string) => {
    await rejects(reopen(), error => {
        match(String(error), new RegExp(message));
        return true;
    });
});

Then("appending is refused with the message {string}", async (message: string) => {
    await rejects(store.append(undefined, [buildEntry(3)]), error => {
        match(String(error), new RegExp(message));
        return true;
    });
});

Then(
    "the log opens with the snapshot {int} and entries {int} to {int}",
    async (index: number, first: number, last: number) => {
        const recovered = await reopen();
        strictEqual(recovered.snapshot?.index, index);
        strictEqual(recovered.entries[0].index, first);
        strictEqual(recovered.entries[recovered.entries.length - 1].index, last);
        strictEqual((await disk.list()).includes(LOG), false);
    },
);
