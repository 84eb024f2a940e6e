import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, strictEqual } from "node:assert";
import {
    applyUpdate,
    compactMap,
    computeUpdate,
    createVersionedMap,
    type VersionedMap,
    writeEntry,
} from "./versionedMap.js";

interface Context {
    history: VersionedMap<number>[];
    reader: VersionedMap<number>;
}

const context: Context = { history: [], reader: createVersionedMap() };

function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
        return state / 2 ** 32;
    };
}

function listValues(map: VersionedMap<number>): [string, number][] {
    const values: [string, number][] = [];
    for (const [key, entry] of map.entries) {
        if (entry.value !== undefined) {
            values.push([key, entry.value]);
        }
    }
    return values.sort(([left], [right]) => left < right ? -1 : 1);
}

Given("a versioned map with {int} random writes and removals from seed {int}", (count: number, seed: number) => {
    const random = createRandom(seed);
    let map = createVersionedMap<number>();
    context.history = [map];
    context.reader = createVersionedMap();
    for (let revision = 1; revision <= count; revision++) {
        const key = `key-${Math.floor(random() * 6)}`;
        map = writeEntry(map, key, revision, random() < 0.3 ? undefined : revision);
        context.history.push(map);
    }
});

When("a reader applies an update after every third write", () => {
    for (const [at, map] of context.history.entries()) {
        if (at % 3 === 0 || at === context.history.length - 1) {
            context.reader = applyUpdate(context.reader, computeUpdate(map, context.reader.revision));
        }
    }
});

When("a reader applies the newest update and then an older one", () => {
    const newest = context.history[context.history.length - 1];
    context.reader = applyUpdate(context.reader, computeUpdate(newest, 0));
    context.reader = applyUpdate(context.reader, computeUpdate(context.history[4], 0));
});

When("the safe point is raised above a reader that holds a removed key", () => {
    const last = context.history[context.history.length - 1];
    const written = writeEntry(last, "gone", last.revision + 1, 1);
    context.reader = applyUpdate(context.reader, computeUpdate(written, 0));
    const removed = writeEntry(written, "gone", written.revision + 1, undefined);
    context.history.push(compactMap(removed, removed.revision));
});

Then("the reader holds the writer's values", () => {
    deepStrictEqual(listValues(context.reader), listValues(context.history[context.history.length - 1]));
});

Then("the reader is at the newest revision", () => {
    strictEqual(context.reader.revision, context.history[context.history.length - 1].revision);
    deepStrictEqual(listValues(context.reader), listValues(context.history[context.history.length - 1]));
});

Then("the reader's next update is a snapshot without that key", () => {
    const update = computeUpdate(context.history[context.history.length - 1], context.reader.revision);
    strictEqual(update.isSnapshot, true);
    context.reader = applyUpdate(context.reader, update);
    strictEqual(listValues(context.reader).some(([key]) => key === "gone"), false);
});
