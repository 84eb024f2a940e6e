import { Given, Then, When } from "@cucumber/cucumber";
import { EngineGroupState, type EngineProfile } from "@kumquathall/types";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { parseGroupName } from "./groupName.js";
import { hasCompleteView, hasGroupFormedBefore, isFleetSettled } from "./settling.js";
import { DemandFeed } from "./testing/demandFeed.js";
import { EngineFleet } from "./testing/engineFleet.js";

const LARGE = "large";
const SMALL = "small";
const STEP_MS = 200;
const FORMATION_MS = 8000;
const REBALANCE_REASON = "its members are needed more for another model";

/** What served at a time after the demand last changed. */
interface Sample {
    ms: number;
    large: number;
    small: number;
}

let profile: EngineProfile;
let fleet: EngineFleet;
let samples: Sample[] = [];
let ordersBefore = 0;

function countServing(model: string): number {
    return fleet.listServing().filter(name => name === model).length;
}

function createProfile(): EngineProfile {
    const build = (name: string, groupSize: number, pace: number, loadMs: number, warmMs: number) => ({
        name,
        groupSize,
        share: 0.5,
        pace,
        loadMs,
        warmMs,
    });
    return {
        slots: 34,
        kvCapacityTokens: 1_000_000,
        stride: 5,
        stepMs: 6,
        perSequenceMs: 0.1,
        contextMsPerThousand: 0,
        prefillTokensPerSecond: 50_000,
        pairsMsPerMillion: 0,
        prefillChunkTokens: 2048,
        loadsPerSecond: 4.8,
        maxConcurrentLoads: 7,
        usualPromptTokens: 1000,
        usualAnswerTokens: 130,
        formationMs: 300,
        models: [build(LARGE, 8, 1, 16_000, 1600), build(SMALL, 4, 0.6, 12_000, 1100)],
    };
}

function runFor(seconds: number, onStep: () => void = () => undefined): void {
    const startedAt = fleet.now;
    samples = [];
    while (fleet.now - startedAt < seconds * 1000) {
        fleet.advance(STEP_MS);
        onStep();
        samples.push({ ms: fleet.now - startedAt, large: countServing(LARGE), small: countServing(SMALL) });
    }
}

function setDemand(getShare: (now: number) => number): void {
    if (fleet.demand === undefined) {
        fleet.demand = new DemandFeed(profile, getShare);
    }
    else {
        fleet.demand.getShare = getShare;
    }
}

function countOrders(kind: string): number {
    return fleet.orders.slice(ordersBefore).filter(item => item.order.kind === kind).length;
}

function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
        return state / 2 ** 32;
    };
}

function startFleet(): void {
    fleet = new EngineFleet(profile);
    ["d0", "d1", "d2"].forEach(domain => fleet.add(domain, 19));
    fleet.advance(FORMATION_MS);
    fleet.isBeforeTraffic = false;
    ordersBefore = fleet.orders.length;
}

Given("models of 8 and 4 endpoints with declared shares 0.5 and 0.5, in 3 domains of 19 engines", () => {
    profile = createProfile();
    startFleet();
    strictEqual(countServing(LARGE), 3);
    strictEqual(countServing(SMALL), 6);
});

Given("declared shares {float} and {float}", (large: number, small: number) => {
    profile = createProfile();
    profile.models[0].share = large;
    profile.models[1].share = small;
    startFleet();
});

Given("hosts hold only the model that they serve", () => fleet.resetStagedCopies());

Given("the groups in the second domain run {int} requests and all others {int}", (few: number, many: number) => {
    [LARGE, SMALL].forEach(model => fleet.setRunning(model, many));
    [LARGE, SMALL].forEach(model => fleet.setRunning(model, few, "d1"));
});

When("the share of the large model is {float} for {int} s", (share: number, seconds: number) => {
    setDemand(() => share);
    runFor(seconds);
});

When(
    "the share of the large model varies around {float} by {float} of it every {int} s for {int} s",
    (mean: number, part: number, periodS: number, seconds: number) => {
        setDemand(now => {
            const wave = part * Math.sin(2 * Math.PI * now / (periodS * 1000));
            const large = mean * (1 + wave);
            return large / (large + (1 - mean) * (1 - wave));
        });
        runFor(seconds);
    },
);

When(
    "the share of the large model is {float} for {int} s, and an engine is lost and one added every {int} ms, with seed {int}",
    (share: number, seconds: number, everyMs: number, seed: number) => {
        const random = createRandom(seed);
        let lossAt = fleet.now + everyMs;
        let additionAt = fleet.now + everyMs / 2;
        setDemand(() => share);
        runFor(seconds, () => {
            if (fleet.now >= lossAt) {
                lossAt += everyMs;
                const engines = fleet.listEngines().filter(view => !view.isLost);
                fleet.crash(engines[Math.floor(random() * engines.length)].id);
            }
            if (fleet.now >= additionAt) {
                additionAt += everyMs;
                fleet.add(`d${Math.floor(random() * 3)}`, 1);
            }
        });
    },
);

When(/^a member of a (large|small) group is lost and (\d+) s pass$/, (model: string, seconds: string) => {
    ordersBefore = fleet.orders.length;
    fleet.crashMember(model, 1);
    runFor(Number(seconds));
});

When("no figures are known for {int} s", (seconds: number) => {
    setDemand(() => Number.NaN);
    runFor(seconds);
});

When("a new leader takes over that has received reports: {word}", (hasReports: string) => {
    fleet.resetLeader();
    fleet.demand?.resetLeader(hasReports === "yes");
});

When("the demand stays for {int} s", (seconds: number) => runFor(seconds));

Then(
    "{int} large and {int} small groups serve after at most {int} s",
    (large: number, small: number, seconds: number) => {
        const reached = samples.find(sample => sample.large === large && sample.small === small);
        ok(reached !== undefined && reached.ms <= seconds * 1000, `reached after ${reached?.ms} ms`);
        strictEqual(fleet.violations.length, 0);
        const last = samples.at(-1);
        strictEqual(last?.large, large);
        strictEqual(last.small, small);
    },
);

Then("{int} large and {int} small groups serve", (large: number, small: number) => {
    strictEqual(countServing(LARGE), large);
    strictEqual(countServing(SMALL), small);
});

Then("at least {int} large and {int} small groups serve", (large: number, small: number) => {
    ok(countServing(LARGE) >= large && countServing(SMALL) >= small, fleet.listServing().join(", "));
});

Then("at most {int} loads and {int} dissolved groups were needed", (loads: number, dissolved: number) => {
    const stages = countOrders("stage");
    const leaves = countOrders("leave");
    ok(stages <= loads && leaves <= dissolved, `${stages} loads, ${leaves} dissolved groups`);
});

Then("{int} groups served until then", (count: number) => {
    const dissolvedAt = samples.findIndex(sample => sample.large + sample.small < count);
    const formedAt = samples.findIndex(sample => sample.large + sample.small > count);
    // From the dissolution until its members serve again, one group fewer serves.
    ok(formedAt - dissolvedAt <= 3000 / STEP_MS, `from ${samples[dissolvedAt].ms} to ${samples[formedAt].ms} ms`);
});

Then("at most {int} groups were dissolved for another model", (count: number) => {
    const rebalances = fleet.orders.slice(ordersBefore).filter(item => item.reason === REBALANCE_REASON);
    ok(rebalances.length <= count, `${rebalances.length} rebalances`);
    strictEqual(fleet.violations.length, 0);
});

Then("no further group was dissolved for another model", () => {
    const rebalances = fleet.orders.slice(ordersBefore).filter(item => item.reason === REBALANCE_REASON);
    strictEqual(rebalances.length, 0);
});

Then("the share of the large model in use is {float}", (share: number) => {
    const { models } = fleet.demand?.select(fleet.listEngines().length, fleet.now).profile ?? profile;
    ok(Math.abs(models[0].share - share) < 0.01, `${models[0].share}`);
});

Then("both models have served in all but {int} s", (seconds: number) => {
    const gaps = samples.filter(sample => sample.large === 0 || sample.small === 0).length * STEP_MS;
    ok(gaps <= seconds * 1000, `${gaps} ms without one of the models`);
});

Then("a group of the second domain was dissolved", () => {
    const leaves = fleet.orders.slice(ordersBefore).filter(item => item.order.kind === "leave");
    strictEqual(leaves.length, 1);
    strictEqual(leaves[0].target.engine?.fabricDomain, "d1");
    strictEqual(parseGroupName("group" in leaves[0].order ? leaves[0].order.group : "")?.model, LARGE);
});

function listOrderKinds(domain: string): string[] {
    return fleet.orders.slice(ordersBefore).flatMap(({ target, order }) =>
        target.engine?.fabricDomain === domain ? [order.kind] : []
    );
}

function listLargeDomains(): string[] {
    return fleet.listEngines().flatMap(({ engine, isLost }) =>
        engine?.group?.rank === 0 && engine.group.state === EngineGroupState.Open && !isLost
            && parseGroupName(engine.group.name)?.model === LARGE
            ? [engine.fabricDomain]
            : []
    );
}

When("data centre {string} is evacuated for {int} s", (domain: string, seconds: number) => {
    fleet.evacuated.add(domain);
    runFor(seconds);
});

When("the evacuation of {string} ends, and {int} s pass", (domain: string, seconds: number) => {
    fleet.evacuated.delete(domain);
    runFor(seconds);
});

When("the data centres with large groups are evacuated for {int} s", (seconds: number) => {
    listLargeDomains().forEach(domain => fleet.evacuated.add(domain));
    runFor(seconds);
});

When("a member of a large group of {string} is lost", (domain: string) => {
    const member = fleet.listEngines(domain).find(({ engine }) => {
        const group = parseGroupName(engine?.group?.name ?? "");
        return group?.model === LARGE && !group.isStandby && engine?.group?.rank === 3;
    });
    fleet.crash(member?.id ?? "");
});

When("the fleet runs for {int} s", (seconds: number) => runFor(seconds));

Then("no endpoint of {string} was ordered anything", (domain: string) => deepStrictEqual(listOrderKinds(domain), []));

Then("no endpoint of {string} was ordered to join", (domain: string) => {
    ok(!listOrderKinds(domain).includes("join"), listOrderKinds(domain).join());
});

Then("at least {int} large groups serve outside them", (count: number) => {
    const outside = listLargeDomains().filter(domain => !fleet.evacuated.has(domain));
    ok(outside.length >= count, fleet.listServing().join());
    strictEqual(fleet.violations.length, 0);
});

Then("{int} large groups serve in them", (count: number) => {
    strictEqual(listLargeDomains().filter(domain => fleet.evacuated.has(domain)).length, count);
});

/** When the planner first knows an endpoint from a heartbeat and from its sidecar, in milliseconds after the return. */
interface Return {
    heartbeatMs: number;
    sidecarMs: number;
}

const OUTAGE_MS = 1300;
/** Time from the return of control members until one leads, in milliseconds. */
const ELECTION_MS = 900;

let returns = new Map<string, Return>();
let random = createRandom(1);
let returnedAt = 0;

/** Shows the planner what has reported since the return. */
function showReports(): void {
    const sinceMs = fleet.now - returnedAt;
    for (const [id, { heartbeatMs, sidecarMs }] of returns) {
        const isObserved = sinceMs >= sidecarMs;
        if (
            isObserved || (sinceMs >= heartbeatMs && fleet.listEngines().find(view => view.id === id)?.isLost === false)
        ) {
            fleet.showEngine(id, isObserved);
        }
    }
    const known = [...returns.values()].map(item => item.heartbeatMs).filter(ms => ms <= sinceMs);
    const firstSeenAt = known.length === 0 ? undefined : returnedAt + Math.min(...known);
    fleet.hasLeader = sinceMs >= ELECTION_MS;
    const newestFirstSeenAt = returnedAt + Math.max(0, ...known);
    const leaderSince = returnedAt + ELECTION_MS;
    fleet.hasCompleteView = hasCompleteView({ now: fleet.now, firstSeenAt, newestFirstSeenAt, leaderSince });
    fleet.isSettled = isFleetSettled({ views: fleet.listKnown(), now: fleet.now, firstSeenAt, newestFirstSeenAt });
}

When(
    "all control members lose power, and heartbeats arrive within {int} ms and sidecars within {int} ms, with seed {int}",
    (heartbeatMs: number, sidecarMs: number, seed: number) => {
        random = createRandom(seed);
        ordersBefore = fleet.orders.length;
        fleet.hasLeader = false;
        fleet.advance(OUTAGE_MS);
        returnedAt = fleet.now;
        fleet.resetLeader();
        fleet.demand?.resetLeader(false);
        fleet.listEngines().forEach(view => fleet.hidden.add(view.id));
        returns = new Map(
            fleet.listEngines().map(view => {
                const heartbeatAt = random() * heartbeatMs;
                return [view.id, { heartbeatMs: heartbeatAt, sidecarMs: Math.max(heartbeatAt, random() * sidecarMs) }];
            }),
        );
    },
);

When("the domain {string} is known only after {int} ms", (domain: string, ms: number) => {
    for (const { id } of fleet.listEngines(domain)) {
        const { heartbeatMs = 0, sidecarMs = 0 } = returns.get(id) ?? {};
        returns.set(id, { heartbeatMs: heartbeatMs + ms, sidecarMs: sidecarMs + ms });
    }
});

When("{int} endpoints are lost meanwhile", (count: number) => {
    const engines = fleet.listEngines();
    for (let at = 0; at < count; at++) {
        fleet.crash(engines[Math.floor(random() * engines.length)].id);
    }
});

When("the control members run for {int} s", (seconds: number) => {
    samples = [];
    for (const endsAt = fleet.now + seconds * 1000; fleet.now < endsAt;) {
        showReports();
        fleet.advance(40);
        samples.push({ ms: fleet.now - returnedAt, large: countServing(LARGE), small: countServing(SMALL) });
    }
});

Then("no order was given after the power failure", () => {
    deepStrictEqual(fleet.orders.slice(ordersBefore).map(item => `${item.order.kind}: ${item.reason}`), []);
});

Then("no group was dissolved for another model", () => {
    const rebalances = fleet.orders.slice(ordersBefore).filter(item => item.reason === REBALANCE_REASON);
    strictEqual(rebalances.length, 0);
    strictEqual(fleet.violations.length, 0);
});

Then("{int} groups serve after at most {int} s", (count: number, seconds: number) => {
    const reached = samples.find(sample => sample.large + sample.small >= count);
    ok(reached !== undefined && reached.ms <= seconds * 1000, `${reached?.ms} ms; ${fleet.listServing().join()}`);
});

Then("a leader that has restarted knows that callers have been served", () => {
    const newest = Math.max(...fleet.listEngines().map(view => view.engine?.group?.epoch ?? 0));
    ok(hasGroupFormedBefore(fleet.listEngines(), newest + 1));
});

Then("a leader that formed the groups itself does not", () => {
    ok(!hasGroupFormedBefore(fleet.listEngines(), 0));
});
