import { Then, When } from "@cucumber/cucumber";
import { LogStore, PowerLossDisk, type RecoveredState } from "@kumquathall/storage";
import type { LogEntry } from "@kumquathall/types";
import { deepStrictEqual } from "node:assert";
import { createRandom } from "./random.js";
import { runInVirtualTime, type VirtualTime } from "./virtualTime.js";

/** First draws of neighbouring seeds, which resemble each other. */
const SKIPPED_DRAWS = 10;
const MAX_DELAY_MS = 6;
const SETTLE_MS = 500;
const EARLIER_INDEX = 8;
const LATER_INDEX = 10;
const LAST_INDEX = 12;
const FIRST_TERM = 1;
const SECOND_TERM = 2;

let problems: string[] = [];

function buildEntries(from: number, to: number, term: number): LogEntry<string>[] {
    return Array.from({ length: to - from + 1 }, (_, at) => ({
        index: from + at,
        term,
        payload: { kind: "commands", commands: [`command ${from + at} of term ${term}`] },
    }));
}

function listIndices(recovered: RecoveredState<string>): string {
    return recovered.entries.map(entry => `${entry.index}.${entry.term}`).join();
}

async function openLog(
    disk: PowerLossDisk,
): Promise<{ store: LogStore<string>; recovered: RecoveredState<string> }> {
    return LogStore.open<string>({ disk: disk.open() });
}

/** Plays a run with each seed, on a disk whose writes take some milliseconds, and collects what goes wrong. */
async function runSeeds(
    first: number,
    last: number,
    run: (disk: PowerLossDisk, random: () => number, time: VirtualTime) => Promise<string | undefined>,
): Promise<void> {
    problems = [];
    for (let seed = first; seed <= last; seed++) {
        const problem = await runInVirtualTime(async time => {
            const random = createRandom(seed);
            for (let draw = 0; draw < SKIPPED_DRAWS; draw++) {
                random();
            }
            const disk = new PowerLossDisk({ random, getDelayMs: () => Math.floor(random() * MAX_DELAY_MS) });
            let isDone = false;
            const running = run(disk, random, time).catch(error => String(error)).finally(() => {
                isDone = true;
            });
            while (!isDone) {
                await time.advanceTimers(1);
            }
            return running;
        });
        if (problem !== undefined) {
            problems.push(`seed ${seed}: ${problem}`);
        }
    }
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

When(
    "a member stores the next snapshot while it starts a segment, with seeds {int} to {int}",
    (first: number, last: number) =>
        runSeeds(first, last, async (disk, random) => {
            const { store } = await openLog(disk);
            const entries = buildEntries(1, LAST_INDEX, FIRST_TERM);
            await store.append({ term: FIRST_TERM, votedFor: "a" }, entries);
            const snapshot = { index: EARLIER_INDEX, term: FIRST_TERM, members: ["a"], data: Buffer.from("state") };
            await store.writeSnapshot(snapshot);
            const starting = store.startSegment(
                EARLIER_INDEX,
                { term: FIRST_TERM, votedFor: "a" },
                entries.slice(EARLIER_INDEX),
            );
            await wait(Math.floor(random() * MAX_DELAY_MS * 4));
            await Promise.all([starting, store.writeSnapshot({ ...snapshot, index: LATER_INDEX })]);
            const { recovered } = await openLog(disk);
            return recovered.snapshot?.index === LATER_INDEX ? undefined : `snapshot ${recovered.snapshot?.index}`;
        }),
);

When(
    "a process ends during an append, another opens the log and the VM then loses power, with seeds {int} to {int}",
    (first: number, last: number) =>
        runSeeds(first, last, async (disk, random) => {
            const { store } = await openLog(disk);
            await store.append({ term: FIRST_TERM, votedFor: "a" }, buildEntries(1, EARLIER_INDEX, FIRST_TERM));
            void store.append(undefined, buildEntries(EARLIER_INDEX + 1, LAST_INDEX, FIRST_TERM));
            await wait(Math.floor(random() * MAX_DELAY_MS * 2));
            disk.endProcess();
            const { recovered } = await openLog(disk);
            disk.dropUnsynced();
            const again = (await openLog(disk)).recovered;
            const isKept = again.entries.length >= recovered.entries.length;
            return isKept ? undefined : `recovered ${listIndices(recovered)}, then ${listIndices(again)}`;
        }),
);

When(
    "a snapshot replaces entries of another leader and the VM then loses power, with seeds {int} to {int}",
    (first: number, last: number) =>
        runSeeds(first, last, async disk => {
            const { store } = await openLog(disk);
            await store.append({ term: FIRST_TERM, votedFor: "a" }, buildEntries(1, LAST_INDEX, FIRST_TERM));
            const hardState = { term: SECOND_TERM, votedFor: undefined };
            await store.append(hardState, []);
            await store.writeSnapshot({
                index: EARLIER_INDEX,
                term: SECOND_TERM,
                members: ["a"],
                data: Buffer.from("state"),
            });
            await store.startSegment(EARLIER_INDEX, hardState, []);
            await wait(SETTLE_MS);
            disk.dropUnsynced();
            const { recovered } = await openLog(disk);
            return recovered.entries.length === 0 ? undefined : `recovered ${listIndices(recovered)}`;
        }),
);

Then("no write fails, and the log opens with the newest snapshot", () => deepStrictEqual(problems, []));

Then("no entry that was recovered is lost", () => deepStrictEqual(problems, []));

Then("no replaced entry is recovered", () => deepStrictEqual(problems, []));
