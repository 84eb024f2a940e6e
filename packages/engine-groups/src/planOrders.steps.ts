import { Given, Then, When } from "@cucumber/cucumber";
import type { EngineProfile } from "@kumquathall/types";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { parseGroupName } from "./groupName.js";
import { EngineFleet } from "./testing/engineFleet.js";

let profile: EngineProfile;
let fleet: EngineFleet;
let breaches: string[] = [];
let wastes: string[] = [];
let newcomers: string[] = [];
let ordersBefore = 0;
let slowId = "";
let domainCount = 0;
let domainSize = 0;

function createFleet(): EngineFleet {
    const created = new EngineFleet(profile);
    for (let at = 0; at < domainCount; at++) {
        created.add(`d${at}`, domainSize);
    }
    return created;
}

function countServing(model: string): number {
    return fleet.listServing().filter(name => name === model).length;
}

function waitFor(isDone: () => boolean, withinMs: number): number {
    const startedAt = fleet.now;
    while (!isDone() && fleet.now - startedAt <= withinMs) {
        fleet.advance(40);
    }
    return fleet.now - startedAt;
}

function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
        return state / 2 ** 32;
    };
}

Given(
    "models {string} of {int} members and {string} of {int} members with shares {float} and {float}",
    (first: string, firstSize: number, second: string, secondSize: number, firstShare: number, secondShare: number) => {
        const build = (name: string, groupSize: number, share: number) => ({
            name,
            groupSize,
            share,
            pace: 1,
            loadMs: 16_000,
            warmMs: 1600,
        });
        profile = {
            slots: 34,
            kvCapacityTokens: 1_000_000,
            stride: 5,
            stepMs: 6,
            perSequenceMs: 0.1,
            contextMsPerThousand: 0,
            prefillTokensPerSecond: 50_000,
            pairsMsPerMillion: 0,
            prefillChunkTokens: 2048,
            loadsPerSecond: 3,
            maxConcurrentLoads: 6,
            usualPromptTokens: 1000,
            usualAnswerTokens: 130,
            formationMs: 300,
            models: [build(first, firstSize, firstShare), build(second, secondSize, secondShare)],
        };
    },
);

Given("{int} engines in each of {int} domains", (size: number, count: number) => {
    breaches = [];
    domainSize = size;
    domainCount = count;
    fleet = createFleet();
});

When("{int} ms pass before traffic", (ms: number) => fleet.advance(ms));

When("traffic begins", () => {
    fleet.isBeforeTraffic = false;
});

When("a member of rank {int} of a {string} group is lost", (rank: number, model: string) => {
    fleet.dropMember(model, rank);
});

When("a member of rank {int} of a {string} group announces its leaving", (rank: number, model: string) => {
    const member = fleet.listEngines().find(view =>
        view.engine?.group?.rank === rank && parseGroupName(view.engine.group.name)?.model === model
        && parseGroupName(view.engine.group.name)?.isStandby === false
    );
    fleet.announceLeaving(member?.id ?? "");
});

When("all engines are lost and {int} ms later start again", (ms: number) => {
    const ids = fleet.listEngines().map(view => view.id);
    ids.forEach(id => fleet.drop(id));
    fleet.advance(ms);
    ids.forEach(id => fleet.restart(id));
});

When(
    "{int} random events from each of {int} seeds come {int} to {int} ms apart",
    (count: number, seeds: number, least: number, most: number) => {
        breaches = [];
        for (let seed = 1; seed <= seeds; seed++) {
            const random = createRandom(seed);
            fleet = createFleet();
            fleet.advance(8000);
            fleet.isBeforeTraffic = false;
            for (let at = 0; at < count; at++) {
                const engines = fleet.listEngines();
                const view = engines[Math.floor(random() * engines.length)];
                if (view.isLost) {
                    fleet.restart(view.id);
                }
                else if (random() < 0.3) {
                    fleet.announceLeaving(view.id);
                }
                else {
                    fleet.drop(view.id);
                }
                fleet.advance(least + random() * (most - least));
            }
            breaches.push(...fleet.breaches.map(text => `seed ${seed}: ${text}`));
        }
    },
);

/** Members of serving groups are lost, one domain after another; newcomers come to any domain. */
function runLossesAndNewcomers(seed: number, lossEveryMs: number, newcomerEveryMs: number, lastsMs: number): void {
    const random = createRandom(seed);
    const domains = Array.from({ length: domainCount }, (_, at) => `d${at}`);
    const endsAt = fleet.now + lastsMs;
    let lossAt = fleet.now + lossEveryMs;
    let newcomerAt = fleet.now + newcomerEveryMs;
    let losses = 0;
    while (fleet.now < endsAt) {
        fleet.advance(40);
        if (fleet.now >= lossAt) {
            lossAt += lossEveryMs;
            const members = fleet.listEngines(domains[losses++ % domainCount]).filter(view =>
                !view.isLost && parseGroupName(view.engine?.group?.name ?? "")?.isStandby === false
            );
            fleet.drop(members[Math.floor(random() * members.length)]?.id ?? "");
        }
        if (fleet.now >= newcomerAt) {
            newcomerAt += newcomerEveryMs;
            fleet.add(domains[Math.floor(random() * domainCount)], 1);
        }
    }
}

When(
    "a member is lost every {int} ms and a newcomer comes every {int} ms, for {int} ms from each of {int} seeds",
    (lossEveryMs: number, newcomerEveryMs: number, lastsMs: number, seeds: number) => {
        wastes = [];
        breaches = [];
        for (let seed = 1; seed <= seeds; seed++) {
            fleet = createFleet();
            fleet.advance(8000);
            fleet.isBeforeTraffic = false;
            runLossesAndNewcomers(seed, lossEveryMs, newcomerEveryMs, lastsMs);
            wastes.push(...fleet.wastes.map(text => `seed ${seed}: ${text}`));
            breaches.push(...fleet.breaches.map(text => `seed ${seed}: ${text}`));
        }
    },
);

When("the groups of {string} run {int} requests", (model: string, running: number) => {
    fleet.setRunning(model, running);
});

Then("no {string} was ordered", (kind: string) => {
    deepStrictEqual(fleet.orders.filter(item => item.order.kind === kind), []);
});

Then("no order was a waste", () => deepStrictEqual(wastes, []));

When("{int} newcomers come to the first domain", (count: number) => {
    fleet.add("d0", count);
    newcomers = fleet.listEngines("d0").slice(-count).map(view => view.id);
});

Then("both load a model within {int} ms, which two loads take to start at 3 a second", (ms: number) => {
    const before = fleet.orders.length;
    fleet.advance(ms);
    const loading = fleet.orders.slice(before).filter(item => item.order.kind === "stage").map(item => item.target.id);
    deepStrictEqual(newcomers.filter(id => !loading.includes(id)), []);
});

Then(
    "{int} groups of {string} and {int} groups of {string} serve",
    (first: number, firstModel: string, second: number, secondModel: string) => {
        strictEqual(countServing(firstModel), first);
        strictEqual(countServing(secondModel), second);
        deepStrictEqual(fleet.breaches, []);
    },
);

Then(
    "{int} groups of {string} and {int} groups of {string} serve within {int} ms",
    (first: number, firstModel: string, second: number, secondModel: string, withinMs: number) => {
        const isDone = () => countServing(firstModel) === first && countServing(secondModel) === second;
        const tookMs = waitFor(isDone, withinMs);
        ok(isDone(), `after ${tookMs} ms: ${fleet.listServing().join(", ")}`);
        deepStrictEqual(fleet.breaches, []);
    },
);

Then(
    "every engine outside a group joins {string} almost at once and {string} from memory",
    (warm: string, staged: string) => {
        const standbys = fleet.listEngines().filter(view =>
            parseGroupName(view.engine?.group?.name ?? "")?.isStandby !== false
        );
        ok(standbys.length > 0);
        for (const view of standbys) {
            strictEqual(parseGroupName(view.engine?.group?.name ?? "")?.model, warm);
            deepStrictEqual(view.engine?.staged, [staged]);
        }
    },
);

When("a new leader hears of only half of the engines for {int} ms", (ms: number) => {
    fleet.resetLeader();
    fleet.hasCompleteView = false;
    fleet.listEngines().filter((_, at) => at % 2 === 0).forEach(view => fleet.unheard.add(view.id));
    ordersBefore = fleet.orders.length;
    fleet.advance(ms);
});

Then("no order was given in that time", () => strictEqual(fleet.orders.length, ordersBefore));

When("the members of a {string} group lose one while nobody leads", (model: string) => {
    fleet.resetLeader();
    fleet.hasCompleteView = false;
    fleet.dropMember(model, 2);
});

When(
    "a member of a {string} group is lost every {int} ms, {int} times in all",
    (model: string, everyMs: number, times: number) => {
        for (let at = 0; at < times; at++) {
            fleet.dropMember(model, at % 3);
            fleet.advance(everyMs);
        }
    },
);

Then(
    "at least {int} groups of {string} and {int} groups of {string} serve",
    (first: number, firstModel: string, second: number, secondModel: string) => {
        const serving = fleet.listServing().join(", ");
        ok(countServing(firstModel) >= first, serving);
        ok(countServing(secondModel) >= second, serving);
        deepStrictEqual(fleet.breaches, []);
    },
);

When(
    "a member of rank {int} of a {string} group becomes {int} times slower",
    (rank: number, model: string, pace: number) => {
        slowId = fleet.setMemberPace(model, rank, pace);
    },
);

When("the head of a {string} group is unheard by a new leader, and a member of it is lost", (model: string) => {
    const [head] = fleet.listMembers(model);
    fleet.resetLeader();
    fleet.unheard.add(head);
    fleet.dropMember(model, 2);
});

When("{int} ms pass", (ms: number) => fleet.advance(ms));

Then("a group of {string} serves without it within {int} ms", (model: string, withinMs: number) => {
    const isDone = () => countServing(model) === 1 && !fleet.listMembers(model).includes(slowId);
    const tookMs = waitFor(isDone, withinMs);
    ok(isDone(), `not after ${tookMs} ms`);
    deepStrictEqual(fleet.breaches, []);
});

Then("the slow member still serves", () => ok(fleet.listMembers("big").includes(slowId)));

Then("at least {int} groups serve", (count: number) => {
    ok(fleet.listServing().length >= count, fleet.listServing().join(", "));
});

Then("a group of {string} serves again within {int} ms", (model: string, withinMs: number) => {
    const tookMs = waitFor(() => countServing(model) === 1, withinMs);
    ok(countServing(model) === 1, `not after ${tookMs} ms`);
    deepStrictEqual(fleet.breaches, []);
});

Then("no group opened without all its members and no member was taken from a serving group", () => {
    deepStrictEqual([...breaches, ...fleet.breaches], []);
});
