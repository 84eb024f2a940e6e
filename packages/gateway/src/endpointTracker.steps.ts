import { Given, Then, When } from "@cucumber/cucumber";
import { EndpointRegistry, type EndpointView } from "@kumquathall/endpoint-registry";
import { listEngineGroups } from "@kumquathall/engine-groups";
import { createLogger } from "@kumquathall/logger";
import { type EndpointFact, EngineGroupState, type EngineStatus, type RequestTraits } from "@kumquathall/types";
import fc from "fast-check";
import { deepStrictEqual, match, strictEqual } from "node:assert";
import { EndpointTracker } from "./endpointTracker.js";

const SEED = 7;
const FORGET_AFTER_MS = 60_000;
const OBSERVER_TIMEOUT_MS = 15_000;
const PLAIN_TIMEOUT_MS = 6000;
const STATES = [EngineGroupState.Open, EngineGroupState.Ready, EngineGroupState.Joining, EngineGroupState.Broken];

const logger = createLogger({ level: "error", write: () => undefined });

/** An engine of a group of two, or of none; few values, so that sequences reach the same states often. */
const statusArbitrary: fc.Arbitrary<EngineStatus> = fc.record({
    running: fc.nat(3),
    waiting: fc.nat(1),
    pace: fc.constantFrom(1, 1, 4),
    epoch: fc.integer({ min: 1, max: 3 }),
    rank: fc.nat(1),
    state: fc.constantFrom(...STATES),
    isInGroup: fc.boolean(),
}).map(({ running, waiting, pace, epoch, rank, state, isInGroup }) => ({
    orderSequence: 1,
    isBusy: false,
    running,
    waiting,
    kvUsedTokens: running * 10,
    kvTotalTokens: 1000,
    pace,
    models: ["m"],
    staged: ["m"],
    fabricDomain: "f",
    group: isInGroup ? { name: "r-2-m", epoch, rank, state } : undefined,
}));

function buildFactArbitrary(engines: number): fc.Arbitrary<EndpointFact> {
    const number = fc.integer({ min: 1, max: 60 });
    return fc.oneof(
        fc.record({
            kind: fc.constant("heartbeat" as const),
            endpoint: fc.nat(engines),
            bornMs: fc.integer({ min: 1, max: 2 }),
            sequence: number,
            isLeaving: fc.constantFrom(false, false, false, true),
            engine: fc.option(statusArbitrary, { nil: undefined }),
        }).map(({ endpoint, ...fact }) => ({
            ...fact,
            id: `e${endpoint}`,
            service: endpoint === engines ? "plain" : "s",
            address: `h${endpoint}:1`,
            dataCentre: "d",
            slots: 4,
        })),
        fc.record({
            kind: fc.constant("departure" as const),
            id: fc.nat(engines * 4).map(endpoint => `e${endpoint}`),
            bornMs: fc.constant(1),
        }),
        ...Array.from({ length: 3 }, () =>
            fc.record({
                kind: fc.constant("observation" as const),
                address: fc.nat(engines - 1).map(endpoint => `h${endpoint}:1`),
                observerStartedMs: fc.integer({ min: 1, max: 2 }),
                number,
                isReachable: fc.constantFrom(true, true, true, false),
                bornMs: fc.integer({ min: 1, max: 2 }),
                engine: fc.option(statusArbitrary, { nil: undefined }),
            })),
    );
}

interface TrackedState {
    heads: { key: string; running: number; waiting: number; pace: number; reportedAt: number }[];
    plain: string[];
}

function formatKey(view: EndpointView): string {
    return `${view.id}@${view.bornMs}`;
}

/** Computes from all facts what a gateway must know. */
function computeState(registry: EndpointRegistry, now: number): TrackedState {
    const views = registry.listViews();
    const heads = listEngineGroups(views).flatMap(({ head, members, isOpen, isDegraded, isStandby, model }) =>
        head === undefined || !isOpen || isDegraded || isStandby || model !== "m" || head.service !== "s" ? [] : [{
            key: formatKey(head),
            running: head.engine?.running ?? 0,
            waiting: head.engine?.waiting ?? 0,
            pace: Math.max(...members.map(member => member.engine?.pace ?? 1)),
            reportedAt: head.engineReportedAt,
        }]
    );
    const plain = views.filter(view =>
        view.service === "plain" && !view.isLeaving && !view.isLost && now - view.lastSeenAt < PLAIN_TIMEOUT_MS
    );
    return { heads, plain: plain.map(formatKey) };
}

function readState(tracker: EndpointTracker, now: number): TrackedState {
    const heads = tracker.listGroupHeads("s", "m").map(endpoint => {
        const { running, waiting, pace } = tracker.estimateLoad(endpoint);
        return { key: endpoint.key, running, waiting, pace, reportedAt: endpoint.view.engineReportedAt };
    });
    return { heads, plain: tracker.listPlainEndpoints("plain", now).map(endpoint => endpoint.key) };
}

Then(
    "{int} random sequences of {int} facts about {int} engines give the same heads, loads and plain endpoints",
    { timeout: 120_000 },
    (sequences: number, length: number, engines: number) => {
        const property = fc.property(
            fc.array(buildFactArbitrary(engines), { minLength: length, maxLength: length }),
            facts => {
                const tracker = new EndpointTracker({ getService: () => undefined, logger });
                const registry = new EndpointRegistry({
                    expireAfterMs: FORGET_AFTER_MS,
                    observerTimeoutMs: OBSERVER_TIMEOUT_MS,
                });
                try {
                    for (const [at, fact] of facts.entries()) {
                        const now = (at + 1) * 500;
                        tracker.record([fact], now);
                        registry.record(fact, now);
                        deepStrictEqual(readState(tracker, now), computeState(registry, now));
                    }
                }
                finally {
                    tracker.close();
                }
            },
        );
        fc.assert(property, { seed: SEED, numRuns: sequences });
    },
);

const soundFact = {
    kind: "heartbeat",
    id: "sound",
    service: "plain",
    address: "10.0.0.1:8080",
    dataCentre: "d",
    slots: 4,
    isLeaving: false,
    bornMs: 1,
    sequence: 1,
    engine: undefined,
};
const soundEngine = {
    orderSequence: 1,
    isBusy: false,
    running: 0,
    waiting: 0,
    kvUsedTokens: 0,
    kvTotalTokens: 0,
    pace: 1,
    models: ["m"],
    staged: [],
    fabricDomain: "f",
    group: { name: "r-1-m", epoch: 1, rank: 0, state: EngineGroupState.Open },
};
const oddFact = { ...soundFact, id: "odd", address: "10.0.0.2:8080" };

const FAULTY_FACTS: Record<string, unknown> = {
    "that is null": null,
    "of an unknown kind": { ...oddFact, kind: "other" },
    "with a port out of range": { ...oddFact, address: "10.0.0.2:70000" },
    "with an unreadable address": { ...oddFact, address: "10.0.\ufffd.2:8080" },
    "without an address": { ...oddFact, address: undefined },
    "with an id that no header holds": { ...oddFact, id: "o\ndd" },
    "with a sequence that is not a number": { ...oddFact, sequence: Number.NaN },
    "with a born time past all dates": { ...oddFact, bornMs: 2 ** 53 },
    "with an engine that is a list": { ...oddFact, engine: [] },
    "with a pace of infinity": { ...oddFact, engine: { ...soundEngine, pace: Number.POSITIVE_INFINITY } },
    "with models nested in lists": { ...oddFact, engine: { ...soundEngine, models: [[["m"]]] } },
    "with a group of an unknown state": {
        ...oddFact,
        engine: { ...soundEngine, group: { ...soundEngine.group, state: "other" } },
    },
    "with a fractional rank": { ...oddFact, engine: { ...soundEngine, group: { ...soundEngine.group, rank: 0.5 } } },
    "with half of a character in its zone": { ...oddFact, dataCentre: "\ud800" },
};

let sentTracker: EndpointTracker;
let loggedLines: string[] = [];

Given("a gateway that is sent the fact of a sound endpoint and one {string}", (fault: string) => {
    loggedLines = [];
    sentTracker = new EndpointTracker({
        getService: () => undefined,
        logger: createLogger({ write: line => loggedLines.push(line) }),
    });
    sentTracker.record([FAULTY_FACTS[fault], soundFact] as EndpointFact[], performance.now(), "member-1");
});

Then("it chooses the sound endpoint and no other", () => {
    const chosen = [
        ...sentTracker.listPlainEndpoints("plain", performance.now()),
        ...sentTracker.listGroupHeads("plain", "m"),
    ];
    deepStrictEqual(chosen.map(endpoint => endpoint.view.address), [soundFact.address]);
    sentTracker.close();
});

Then("it logs the refused fact with its writer and the reason {string}", (reason: string) => {
    match(loggedLines.join("\n"), new RegExp(`event=input-refused .*reason=.*${reason}.*writer=member-1`));
});

const HEARTBEAT_MS = 1200;
const LATER_START = 2;
const LATER_ADDRESS = "10.0.0.9:8080";

let lossReasons: string[] = [];

Given(/^a gateway with a sound endpoint that runs (a|no) request$/, (requests: string) => {
    lossReasons = [];
    sentTracker = new EndpointTracker({ getService: () => undefined, logger });
    sentTracker.record([soundFact] as EndpointFact[], 0);
    const [endpoint] = sentTracker.listPlainEndpoints("plain", 0);
    if (requests === "no") {
        return;
    }
    endpoint.inFlight.add({
        sentAt: 0,
        headAt: undefined,
        firstContentAt: undefined,
        promptTokens: 0,
        hasStarted: true,
        describe: () => ({ subjects: [] }) as unknown as RequestTraits,
        onLost: reason => lossReasons.push(reason),
        onClosed: () => undefined,
    });
});

When("an entry with its id and a later start, at another address, arrives", () => {
    sentTracker.record([{ ...soundFact, bornMs: LATER_START, address: LATER_ADDRESS }] as EndpointFact[], 0);
});

When("the sound endpoint goes on with its heartbeats for {int} ms", (durationMs: number) => {
    for (let now = HEARTBEAT_MS; now <= durationMs; now += HEARTBEAT_MS) {
        sentTracker.record([{ ...soundFact, sequence: now }] as EndpointFact[], now);
    }
});

When("the newer incarnation is observed at the address of the former", () => {
    const observation = { observerStartedMs: 1, number: 1, isReachable: true, engine: undefined };
    sentTracker.record([{
        kind: "observation",
        address: soundFact.address,
        bornMs: LATER_START,
        ...observation,
    }], 0);
});

Then("the request goes on", () => deepStrictEqual(lossReasons, []));

Then("new requests go to the sound endpoint", () => {
    const chosen = sentTracker.listPlainEndpoints("plain", HEARTBEAT_MS);
    deepStrictEqual(chosen.map(endpoint => endpoint.view.address), [soundFact.address]);
    sentTracker.close();
});

Then("the request has ended as lost", () => {
    deepStrictEqual(lossReasons, ["its endpoint is lost"]);
    sentTracker.close();
});

const MS_PER_SECOND = 1000;

function recordOther(now: number): void {
    const other = { ...soundFact, id: "other", address: LATER_ADDRESS, sequence: now };
    sentTracker.record([other] as EndpointFact[], now);
}

When("another endpoint sends heartbeats for {int} s without a pause", (seconds: number) => {
    for (let now = HEARTBEAT_MS; now <= seconds * MS_PER_SECOND; now += HEARTBEAT_MS) {
        recordOther(now);
    }
});

When("another endpoint sends heartbeats once, after {int} s", (seconds: number) => {
    recordOther(seconds * MS_PER_SECOND);
});

When("stale endpoints are removed", () => sentTracker.removeStale());

Then(/^the sound endpoint is (known|forgotten)$/, (expected: string) => {
    strictEqual(sentTracker.hasEndpoint("sound@1"), expected === "known");
    sentTracker.close();
});
