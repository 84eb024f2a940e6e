import { Before, Given, Then, When } from "@cucumber/cucumber";
import type { EndpointFact, ObservationFact } from "@kumquathall/types";
import { deepStrictEqual, strictEqual } from "node:assert";
import { EndpointRegistry, type EndpointView } from "./endpointRegistry.js";
import { isColdTimeChanged } from "./isColdTimeChanged.js";

const EXPIRE_AFTER_MS = 1000;
const HEARTBEAT_MS = 1000;
/** Start of a sidecar that has started again. */
const RESTARTED_OBSERVER_MS = 2;

let registry: EndpointRegistry | undefined;
let observations = 0;
let factLists: EndpointFact[][] = [];

Before({ tags: "@endpoint-registry" }, () => {
    registry = undefined;
});

function getRegistry(): EndpointRegistry {
    registry ??= new EndpointRegistry({ expireAfterMs: EXPIRE_AFTER_MS });
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

function buildObservation(address: string, bornMs: number, isReachable: boolean, number: number): ObservationFact {
    return { kind: "observation", address, observerStartedMs: 1, number, isReachable, bornMs, engine: undefined };
}

function getView(id: string): EndpointView | undefined {
    return getRegistry().listViews().find(view => view.id === id);
}

function listAlive(facts: EndpointFact[]): string[] {
    const mergedRegistry = new EndpointRegistry({ expireAfterMs: EXPIRE_AFTER_MS });
    facts.forEach(fact => mergedRegistry.record(fact, 0));
    return mergedRegistry.listViews().filter(view => !view.isLost).map(view =>
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
    "endpoint {string} started at {int} sends a heartbeat from {string} with sequence {int}",
    (id: string, bornMs: number, address: string, sequence: number) => {
        getRegistry().record(buildHeartbeat(id, bornMs, address, sequence, false), 0);
    },
);

Given(
    "endpoint {string} started at {int} announces from {string} with sequence {int} that it is leaving",
    (id: string, bornMs: number, address: string, sequence: number) => {
        getRegistry().record(buildHeartbeat(id, bornMs, address, sequence, true), 0);
    },
);

When(
    "endpoint {string} started at {int} sends a heartbeat from {string} every {int} ms for {int} ms",
    (id: string, bornMs: number, address: string, intervalMs: number, durationMs: number) => {
        for (let now = intervalMs; now <= durationMs; now += intervalMs) {
            getRegistry().record(buildHeartbeat(id, bornMs, address, now, false), now);
            getRegistry().expire(now);
        }
    },
);

When(
    "endpoint {string} started at {int} goes on with its heartbeats from {string} for {int} ms",
    (id: string, bornMs: number, address: string, durationMs: number) => {
        for (let now = HEARTBEAT_MS; now <= durationMs; now += HEARTBEAT_MS) {
            getRegistry().record(buildHeartbeat(id, bornMs, address, 1 + now, false), now);
        }
    },
);

When(
    "a heartbeat of endpoint {string} started at {int} from {string} arrives {int} ms late",
    (id: string, bornMs: number, address: string, lateMs: number) => {
        getRegistry().record(buildHeartbeat(id, bornMs, address, 2, false), lateMs);
    },
);

Given("endpoint {string} started at {int} departs", (id: string, bornMs: number) => {
    getRegistry().record({ kind: "departure", id, bornMs }, 0);
});

When("the sidecar of {string} no longer reaches incarnation {int}", (address: string, bornMs: number) => {
    getRegistry().record(buildObservation(address, bornMs, false, ++observations), 0);
});

When("the sidecar of {string} reaches incarnation {int}", (address: string, bornMs: number) => {
    getRegistry().record(buildObservation(address, bornMs, true, ++observations), 0);
});

When("the sidecar of {string} has started again and reaches incarnation {int}", (address: string, bornMs: number) => {
    recordRestartedSidecar(address, bornMs);
});

When(
    "the sidecar of {string} has started again, reaches none and then incarnation {int}",
    (address: string, bornMs: number) => {
        recordRestartedSidecar(address, 0);
        recordRestartedSidecar(address, bornMs);
    },
);

function recordRestartedSidecar(address: string, bornMs: number): void {
    const observation = buildObservation(address, bornMs, bornMs !== 0, ++observations);
    getRegistry().record({ ...observation, observerStartedMs: RESTARTED_OBSERVER_MS }, 0);
}

Then("the process of endpoint {string} has ended by itself: {word}", (id: string, expected: string) => {
    strictEqual(getView(id)?.hasProcessEnded, expected === "yes");
});

Given("{int} random facts for each of {int} seeds", (count: number, seeds: number) => {
    factLists = [];
    for (let seed = 1; seed <= seeds; seed++) {
        const random = createRandom(seed);
        const facts: EndpointFact[] = [];
        const leaving = new Set<string>();
        for (let at = 0; at < count; at++) {
            const id = `e${random(3)}`;
            const bornMs = 100 * (1 + random(3));
            const key = `${id}@${bornMs}`;
            const kind = random(6);
            if (kind === 0) {
                facts.push({ kind: "departure", id, bornMs });
            }
            else if (kind === 1) {
                facts.push(buildObservation(`h:${random(2)}`, bornMs, random(2) === 0, at));
            }
            else {
                // All later heartbeats of a leaving endpoint announce it too.
                if (random(8) === 0) {
                    leaving.add(key);
                }
                facts.push(buildHeartbeat(id, bornMs, `h:${id === "e0" ? 0 : 1}`, at, leaving.has(key)));
            }
        }
        factLists.push(facts);
    }
});

Then("every order of arrival produces the same endpoints", () => {
    const random = createRandom(99);
    for (const facts of factLists) {
        const expected = listAlive(facts);
        for (let round = 0; round < 10; round++) {
            const shuffled = facts.map(fact => ({ fact, key: random(1_000_000) })).sort((left, right) =>
                left.key - right.key
            );
            deepStrictEqual(listAlive(shuffled.map(item => item.fact)), expected);
        }
    }
});

Then("the endpoints are {string}", (ids: string) => {
    strictEqual(
        getRegistry().listViews().filter(view => !view.isLost && !view.isLeaving).map(view => view.id).sort().join(","),
        ids,
    );
});

Then("endpoint {string} has the newest start time {int}", (id: string, bornMs: number) => {
    strictEqual(getRegistry().getBornMs(id), bornMs);
});

Then("endpoint {string} is leaving", (id: string) => strictEqual(getView(id)?.isLeaving, true));

Then("endpoint {string} is lost", (id: string) => strictEqual(getView(id)?.isLost, true));

Then("endpoint {string} is alive", (id: string) => strictEqual(getView(id)?.isLost, false));

let refused = 0;

Given("a registry of at most {int} endpoints", (maxEndpoints: number) => {
    registry = new EndpointRegistry({ expireAfterMs: EXPIRE_AFTER_MS, maxEndpoints });
    refused = 0;
});

/** Records facts at equal intervals, unless there is no room for them. */
function recordWithin(facts: EndpointFact[], durationMs: number): void {
    facts.forEach((fact, at) => {
        const now = at * durationMs / facts.length;
        if (getRegistry().admit(fact, now)) {
            getRegistry().record(fact, now);
        }
        else {
            refused++;
        }
    });
}

When("{int} entries under new ids arrive within {int} s", (count: number, seconds: number) => {
    const entries = Array.from({ length: count }, (_, at) => buildHeartbeat(`n${at}`, 1, `h:${at + 2}`, 1, false));
    recordWithin(entries, seconds * HEARTBEAT_MS);
});

When("{int} departures of new ids arrive within {int} s", (count: number, seconds: number) => {
    const departures = Array.from({ length: count }, (_, at): EndpointFact => ({
        kind: "departure",
        id: `n${at}`,
        bornMs: 1,
    }));
    recordWithin(departures, seconds * HEARTBEAT_MS);
});

Then("{int} endpoints are known, and {int} entries were not recorded", (known: number, expected: number) => {
    strictEqual(getRegistry().listViews().length, known);
    strictEqual(refused, expected);
});

Then("{int} facts are known", (count: number) => strictEqual(getRegistry().listFacts().length, count));

Then("a new endpoint is recorded at {int} ms", (now: number) => {
    const fact = buildHeartbeat("new", 1, "h:0", 1, false);
    strictEqual(getRegistry().admit(fact, now), true);
    getRegistry().record(fact, now);
    strictEqual(getView("new")?.isLost, false);
});

Then("the {int} ids that made room are reported as forgotten", (count: number) => {
    strictEqual(getRegistry().expire(0).length, count);
});

When(
    "endpoint {string} started at {int} sends a heartbeat with sequence {int} and a cold time of {int} ms at {int} ms",
    (id: string, bornMs: number, sequence: number, coldMs: number, now: number) => {
        const fact = buildHeartbeat(id, bornMs, "h:1", sequence, false);
        getRegistry().record({ ...fact, ...(coldMs === 0 ? {} : { coldMs }) }, now);
    },
);

When(
    "the sidecar observes a cold time of {int} ms of endpoint {string} started at {int} at {int} ms",
    (coldMs: number, _id: string, bornMs: number, now: number) => {
        getRegistry().record({ ...buildObservation("h:1", bornMs, true, 1), coldMs }, now);
    },
);

Then("endpoint {string} is cold until {int} ms", (id: string, until: number) => {
    strictEqual(getView(id)?.coldUntil ?? 0, until);
});

Then(
    /^a cold time of (\d+) ms and then (\d+) ms is (a change|unchanged)$/,
    (known: string, next: string, kind: string) => {
        strictEqual(isColdTimeChanged(Number(known), Number(next)), kind === "a change");
    },
);
