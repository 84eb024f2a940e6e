import { Before, Given, Then, When } from "@cucumber/cucumber";
import type { EndpointFact } from "@kumquathall/types";
import { deepStrictEqual, strictEqual } from "node:assert";
import { EndpointRegistry, type EndpointView } from "./endpointRegistry.js";

const FORGET_AFTER_MS = 1000;

let registry: EndpointRegistry | undefined;
let observations = 0;
let histories: EndpointFact[][] = [];

Before({ tags: "@endpoint-registry" }, () => {
    registry = undefined;
});

function start(): EndpointRegistry {
    registry ??= new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    return registry;
}

function buildHeartbeat(
    id: string,
    bornMs: number,
    address: string,
    sequence: number,
    isLeaving: boolean,
): EndpointFact {
    return {
        kind: "heartbeat",
        id,
        service: "s",
        address,
        dataCentre: "d",
        slots: 1,
        isLeaving,
        bornMs,
        sequence,
        engine: undefined,
    };
}

function buildObservation(address: string, bornMs: number, isReachable: boolean, number: number): EndpointFact {
    return { kind: "observation", address, observerStartedMs: 1, number, isReachable, bornMs, engine: undefined };
}

function getView(id: string): EndpointView | undefined {
    return start().listViews().find(view => view.id === id);
}

function show(facts: EndpointFact[]): string[] {
    const fresh = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    facts.forEach(fact => fresh.record(fact, 0));
    return fresh.listViews().filter(view => !view.isLost).map(view =>
        `${view.id}@${view.bornMs}/${view.address}/${view.isLeaving}/${view.isLost}`
    )
        .sort();
}

function createRandom(seed: number): (below: number) => number {
    let state = seed;
    return below => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
        return Math.floor(state / 2 ** 32 * below);
    };
}

Given(
    "endpoint {string} born at {int} announces itself at {string} with sequence {int}",
    (id: string, born: number, address: string, sequence: number) => {
        start().record(buildHeartbeat(id, born, address, sequence, false), 0);
    },
);

Given(
    "endpoint {string} born at {int} announces its leaving at {string} with sequence {int}",
    (id: string, born: number, address: string, sequence: number) => {
        start().record(buildHeartbeat(id, born, address, sequence, true), 0);
    },
);

Given("endpoint {string} born at {int} departs", (id: string, bornMs: number) => {
    start().record({ kind: "departure", id, bornMs }, 0);
});

When("the sidecar of {string} finds nobody after incarnation {int}", (address: string, born: number) => {
    start().record(buildObservation(address, born, false, ++observations), 0);
});

When("the sidecar of {string} sees incarnation {int}", (address: string, born: number) => {
    start().record(buildObservation(address, born, true, ++observations), 0);
});

Given("{int} random facts from each of {int} seeds", (count: number, seeds: number) => {
    histories = [];
    for (let seed = 1; seed <= seeds; seed++) {
        const random = createRandom(seed);
        const facts: EndpointFact[] = [];
        const leaving = new Set<string>();
        for (let at = 0; at < count; at++) {
            const id = `e${random(3)}`;
            const born = 100 * (1 + random(3));
            const key = `${id}@${born}`;
            const kind = random(6);
            if (kind === 0) {
                facts.push({ kind: "departure", id, bornMs: born });
            }
            else if (kind === 1) {
                facts.push(buildObservation(`h:${random(2)}`, born, random(2) === 0, at));
            }
            else {
                // An endpoint that is leaving says so in each heartbeat from then on.
                if (random(8) === 0) {
                    leaving.add(key);
                }
                facts.push(buildHeartbeat(id, born, `h:${id === "e0" ? 0 : 1}`, at, leaving.has(key)));
            }
        }
        histories.push(facts);
    }
});

Then("every order of their arrival shows the same endpoints", () => {
    const random = createRandom(99);
    for (const facts of histories) {
        const expected = show(facts);
        for (let round = 0; round < 10; round++) {
            const shuffled = facts.map(fact => ({ fact, key: random(1_000_000) })).sort((left, right) =>
                left.key - right.key
            );
            deepStrictEqual(show(shuffled.map(item => item.fact)), expected);
        }
    }
});

Given("the request {string} was at the end of endpoints {string}", (fingerprint: string, endpoints: string) => {
    endpoints.split(",").forEach(endpoint => start().record({ kind: "crash", fingerprint, endpoint }, 0));
});

Then(
    "{string} has ended {int} endpoints and {string} {int}",
    (first: string, count: number, second: string, none: number) => {
        strictEqual(start().countCrashes(first), count);
        strictEqual(start().countCrashes(second), none);
    },
);

Then("the endpoints are {string}", (ids: string) => {
    strictEqual(
        start().listViews().filter(view => !view.isLost && !view.isLeaving).map(view => view.id).sort().join(","),
        ids,
    );
});

Then("endpoint {string} is known as born at {int}", (id: string, born: number) => {
    strictEqual(start().getBornMs(id), born);
});

Then("endpoint {string} is leaving", (id: string) => strictEqual(getView(id)?.isLeaving, true));

Then("endpoint {string} is lost", (id: string) => strictEqual(getView(id)?.isLost, true));

Then("endpoint {string} is alive", (id: string) => strictEqual(getView(id)?.isLost, false));
