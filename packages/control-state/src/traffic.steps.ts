import { Given, Then, When } from "@cucumber/cucumber";
import {
    type ChangeTrafficCommand,
    type Command,
    type CommandResult,
    type ConfigurationValue,
    RequestKind,
    type TrafficAccount,
    type TrafficConfiguration,
    type TrafficRoute,
} from "@kumquathall/types";
import { Encoder } from "cbor-x";
import fc from "fast-check";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { applyCommand } from "./applyCommand.js";
import { getTraffic } from "./lookup.js";
import { decodeState, encodeState } from "./snapshot.js";
import { type ControlState, createControlState } from "./state.js";
import { applyTextChange, computeTextChange } from "./textChange.js";
import { computeTrafficChanges, listTrafficEntries } from "./trafficEntries.js";

const SEED = 19;
const AT = "2026-01-01T00:00:00.000Z";
const codec = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false, structuredClone: false });

let state: ControlState;
let traffic: TrafficConfiguration;
let difference: ChangeTrafficCommand;
let result: CommandResult;
let index = 0;

function buildRoute(id: number, timeoutMs = 3000): TrafficRoute {
    return {
        name: `route-${id}`,
        host: `Host${id % 3}.example`,
        pathPrefix: `/service-${id}/`,
        kind: RequestKind.Idempotent,
        timeoutMs,
        objectiveMs: 300,
        gapObjectiveMs: undefined,
        priority: 1,
        targets: [{ service: "orders", weight: 1 }],
        maxEndpoints: 2,
        isPublic: false,
        isResumable: false,
    };
}

function buildTraffic(version: number, routes: TrafficRoute[], accounts: TrafficAccount[]): TrafficConfiguration {
    const services = [{ name: "orders", maxConnections: 64, engine: undefined }];
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 };
    return { version, routes, services, limits, accounts };
}

function buildAccount(id: number): TrafficAccount {
    return { name: `account-${id}`, keys: [`key-${id}-a`, `key-${id}-b`], priority: undefined };
}

function buildWhole(next: TrafficConfiguration): Command {
    return { kind: "publishTraffic", traffic: next, document: JSON.stringify(next), at: AT };
}

function buildDifference(from: ControlState, next: TrafficConfiguration): ChangeTrafficCommand {
    return {
        kind: "changeTraffic",
        baseVersion: getTraffic(from.configuration)?.version ?? 0,
        version: next.version,
        changes: computeTrafficChanges(from.configuration, next),
        document: computeTextChange(from.trafficDocument ?? "", JSON.stringify(next)),
        at: AT,
    };
}

/** Applies a command as a follower does that received it over the network. */
function applyTo(from: ControlState, command: Command): { state: ControlState; result: CommandResult } {
    return applyCommand(from, codec.decode(codec.encode(command)) as Command, { index: ++index, term: 1 });
}

function listLiveEntries(from: ControlState): Record<string, ConfigurationValue> {
    const live = [...from.configuration.entries].flatMap(([key, entry]) =>
        entry.value === undefined ? [] : [[key, entry.value] as const]
    );
    return Object.fromEntries(live.sort(([left], [right]) => left < right ? -1 : 1));
}

Then("for {int} pairs of documents the change applied to the older one gives the newer one", (runs: number) => {
    const text = fc.array(fc.constantFrom("{", "}", ",", "a", "}}", "{a:1}", "é", "😀", "")).map(parts =>
        parts.join("")
    );
    fc.assert(
        fc.property(text, text, (older, newer) => {
            strictEqual(applyTextChange(older, computeTextChange(older, newer)), newer);
        }),
        { numRuns: runs, seed: SEED },
    );
});

Given(
    "version {int} with {int} routes and {int} accounts is in force",
    (version: number, routes: number, accounts: number) => {
        traffic = buildTraffic(
            version,
            Array.from({ length: routes }, (_, at) => buildRoute(at)),
            Array.from({ length: accounts }, (_, at) => buildAccount(at)),
        );
        state = applyTo(createControlState(), buildWhole(traffic)).state;
    },
);

When("the difference to version {int}, which revokes one key, is computed", (version: number) => {
    const [first, ...others] = traffic.accounts;
    difference = buildDifference(state, {
        ...traffic,
        version,
        accounts: [{ ...first, keys: [first.keys[0]] }, ...others],
    });
});

Then("it has {int} entries and takes less than {int} KB", (count: number, kilobytes: number) => {
    strictEqual(difference.changes.length, count);
    const bytes = codec.encode(difference).length;
    ok(bytes < kilobytes * 1000, `${bytes} bytes`);
});

Then("for {int} random successors the difference and the whole lead to equal entries and documents", (runs: number) => {
    const routes = fc.uniqueArray(fc.tuple(fc.integer({ min: 0, max: 60 }), fc.constantFrom(1000, 3000)), {
        selector: ([id]) => id,
        maxLength: 50,
    });
    const accounts = fc.uniqueArray(fc.integer({ min: 0, max: 8 }), { maxLength: 8 });
    fc.assert(
        fc.property(routes, accounts, (routeIds, accountIds) => {
            const version = (getTraffic(state.configuration)?.version ?? 0) + 1;
            const next = buildTraffic(
                version,
                routeIds.map(([id, ms]) => buildRoute(id, ms)),
                accountIds.map(buildAccount),
            );
            const changed = applyTo(state, buildDifference(state, next));
            strictEqual(changed.result.kind, "accepted");
            const whole = applyTo(state, buildWhole(next)).state;
            deepStrictEqual(listLiveEntries(changed.state), listLiveEntries(whole));
            deepStrictEqual(Object.keys(listLiveEntries(whole)), [...listTrafficEntries(next).keys()].sort());
            strictEqual(changed.state.trafficDocument, JSON.stringify(next));
            state = decodeState(encodeState(changed.state));
        }),
        { numRuns: runs, seed: SEED },
    );
});

When("version {int} is published whole", (version: number) => {
    state = applyTo(state, buildWhole({ ...traffic, version })).state;
});

When("the difference of version 1 to version {int} is applied", (version: number) => {
    ({ state, result } = applyTo(state, { ...difference, version }));
});

Then("it is accepted without an effect, since version {int} is newer", (version: number) => {
    strictEqual(result.kind, "accepted");
    strictEqual(getTraffic(state.configuration)?.version, version);
    strictEqual(state.trafficDocument, JSON.stringify({ ...traffic, version }));
});

Then("it is refused as stale", () => {
    strictEqual(result.kind === "refused" ? result.code : result.kind, "stale");
});

Given(
    "two accounts named {string} with the keys {string} and {string}",
    (name: string, first: string, second: string) => {
        const accounts = [first, second].map(key => ({ name, keys: [key], priority: undefined }));
        state = applyTo(createControlState(), buildWhole(buildTraffic(1, [], accounts))).state;
    },
);

Then("the state has an entry for each of them", () => {
    const keys = Object.values(listLiveEntries(state)).flatMap(value =>
        value.kind === "trafficAccount" ? value.account.keys : []
    );
    deepStrictEqual(keys, ["a", "b"]);
});

Given("a stored snapshot with version {int} and {int} routes in one entry", (version: number, routes: number) => {
    traffic = buildTraffic(version, Array.from({ length: routes }, (_, at) => buildRoute(at)), []);
    const value = { kind: "traffic", traffic, document: JSON.stringify(traffic) } as unknown as ConfigurationValue;
    const empty = createControlState();
    const entries = empty.configuration.entries.set("traffic", { revision: 3, value });
    state = decodeState(encodeState({ ...empty, configuration: { ...empty.configuration, revision: 3, entries } }));
});

Then("the state read from it has version {int}, {int} routes and the document", (version: number, routes: number) => {
    strictEqual(getTraffic(state.configuration)?.version, version);
    strictEqual(Object.values(listLiveEntries(state)).filter(value => value.kind === "trafficRoute").length, routes);
    strictEqual(state.trafficDocument, JSON.stringify(traffic));
});
