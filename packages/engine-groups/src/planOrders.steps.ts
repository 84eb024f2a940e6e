import { Given, Then, When } from "@cucumber/cucumber";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { parseGroupName } from "./groupName.js";
import { EngineFleet } from "./testing/engineFleet.js";

/** Time from a crash of an engine to its restart, in milliseconds. */
const CRASH_MS = 1500;

let profile: EngineProfile;
let fleet: EngineFleet;
let violations: string[] = [];
let wastedOrders: string[] = [];
let addedIds: string[] = [];
let ordersBefore = 0;
let slowId = "";
let servingBefore = 0;
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
    violations = [];
    domainSize = size;
    domainCount = count;
    fleet = createFleet();
});

When("{int} ms pass before traffic", (ms: number) => fleet.advance(ms));

When("traffic begins", () => {
    fleet.isBeforeTraffic = false;
});

When("a member of rank {int} of a {string} group is lost", (rank: number, model: string) => {
    fleet.crashMember(model, rank);
});

When("a member of rank {int} of a {string} group announces that it is leaving", (rank: number, model: string) => {
    const member = fleet.listEngines().find(view =>
        view.engine?.group?.rank === rank && parseGroupName(view.engine.group.name)?.model === model
        && parseGroupName(view.engine.group.name)?.isStandby === false
    );
    fleet.announceLeaving(member?.id ?? "");
});

const MODEL_CHANGES: Record<string, (models: EngineModelProfile[]) => EngineModelProfile[]> = {
    "is empty": () => [],
    "has a model without members": models => models.map(model => ({ ...model, groupSize: 0 })),
    "has a model with a negative size": models => models.map(model => ({ ...model, groupSize: -3 })),
    "has a model with half a member": models => models.map(model => ({ ...model, groupSize: 0.5 })),
    "has only models without a share": models => models.map(model => ({ ...model, share: 0 })),
    "has a share that is no number": models => models.map(model => ({ ...model, share: Number.NaN })),
};

When("for {int} ms the list of models {string}", (durationMs: number, change: string) => {
    const { models } = profile;
    profile.models = MODEL_CHANGES[change](models);
    fleet.advance(durationMs);
    profile.models = models;
});

When("all engines are lost and restart {int} ms later", (ms: number) => {
    const ids = fleet.listEngines().map(view => view.id);
    ids.forEach(id => fleet.crash(id));
    fleet.advance(ms);
    ids.forEach(id => fleet.restart(id));
});

When(
    "{int} random events for each of {int} seeds occur {int} to {int} ms apart",
    (count: number, seeds: number, minGapMs: number, maxGapMs: number) => {
        violations = [];
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
                    fleet.crash(view.id);
                }
                fleet.advance(minGapMs + random() * (maxGapMs - minGapMs));
            }
            violations.push(...fleet.violations.map(text => `seed ${seed}: ${text}`));
        }
    },
);

When(
    "engines leave {float} of the orders unanswered and carry them out late, and {int} crash every {int} ms for {int} ms with each of {int} seeds",
    (share: number, count: number, everyMs: number, lastsMs: number, seeds: number) => {
        violations = [];
        for (let seed = 1; seed <= seeds; seed++) {
            const random = createRandom(seed);
            fleet = createFleet();
            fleet.advance(8000);
            fleet.isBeforeTraffic = false;
            fleet.lateOrders = { share, random };
            for (const endsAt = fleet.now + lastsMs; fleet.now < endsAt;) {
                const engines = fleet.listEngines();
                const crashed = Array.from({ length: count }, () => engines[Math.floor(random() * engines.length)].id);
                crashed.forEach(id => fleet.crash(id));
                fleet.advance(CRASH_MS);
                crashed.forEach(id => fleet.restart(id));
                fleet.advance(everyMs - CRASH_MS);
            }
            violations.push(...fleet.violations.map(text => `seed ${seed}: ${text}`));
        }
    },
);

/** Crashes members of serving groups, one domain after another, and adds engines to random domains. */
function runLossesAndAdditions(seed: number, lossEveryMs: number, additionEveryMs: number, lastsMs: number): void {
    const random = createRandom(seed);
    const domains = Array.from({ length: domainCount }, (_, at) => `d${at}`);
    const endsAt = fleet.now + lastsMs;
    let lossAt = fleet.now + lossEveryMs;
    let additionAt = fleet.now + additionEveryMs;
    let losses = 0;
    while (fleet.now < endsAt) {
        fleet.advance(40);
        if (fleet.now >= lossAt) {
            lossAt += lossEveryMs;
            const members = fleet.listEngines(domains[losses++ % domainCount]).filter(view =>
                !view.isLost && parseGroupName(view.engine?.group?.name ?? "")?.isStandby === false
            );
            fleet.crash(members[Math.floor(random() * members.length)]?.id ?? "");
        }
        if (fleet.now >= additionAt) {
            additionAt += additionEveryMs;
            fleet.add(domains[Math.floor(random() * domainCount)], 1);
        }
    }
}

When(
    "a member is lost every {int} ms and an engine is added every {int} ms, for {int} ms with each of {int} seeds",
    (lossEveryMs: number, additionEveryMs: number, lastsMs: number, seeds: number) => {
        wastedOrders = [];
        violations = [];
        for (let seed = 1; seed <= seeds; seed++) {
            fleet = createFleet();
            fleet.advance(8000);
            fleet.isBeforeTraffic = false;
            runLossesAndAdditions(seed, lossEveryMs, additionEveryMs, lastsMs);
            wastedOrders.push(...fleet.wastedOrders.map(text => `seed ${seed}: ${text}`));
            violations.push(...fleet.violations.map(text => `seed ${seed}: ${text}`));
        }
    },
);

When("the groups of {string} run {int} requests", (model: string, running: number) => {
    fleet.setRunning(model, running);
});

Then("no {string} order was given", (kind: string) => {
    deepStrictEqual(fleet.orders.filter(item => item.order.kind === kind), []);
});

Then("no order wasted time or loads", () => deepStrictEqual(wastedOrders, []));

When("{int} engine(s) is/are added to the first domain", (count: number) => {
    fleet.add("d0", count);
    addedIds = fleet.listEngines("d0").slice(-count).map(view => view.id);
});

Then("both are ordered to load a model within {int} ms, in which two loads can start at 3 a second", (ms: number) => {
    const before = fleet.orders.length;
    fleet.advance(ms);
    const loading = fleet.orders.slice(before).filter(item => item.order.kind === "stage").map(item => item.target.id);
    deepStrictEqual(addedIds.filter(id => !loading.includes(id)), []);
});

Then(
    "{int} groups of {string} and {int} groups of {string} serve",
    (first: number, firstModel: string, second: number, secondModel: string) => {
        strictEqual(countServing(firstModel), first);
        strictEqual(countServing(secondModel), second);
        deepStrictEqual(fleet.violations, []);
    },
);

Then(
    "{int} groups of {string} and {int} groups of {string} serve within {int} ms",
    (first: number, firstModel: string, second: number, secondModel: string, withinMs: number) => {
        const isDone = () => countServing(firstModel) === first && countServing(secondModel) === second;
        const tookMs = waitFor(isDone, withinMs);
        ok(isDone(), `after ${tookMs} ms: ${fleet.listServing().join(", ")}`);
        deepStrictEqual(fleet.violations, []);
    },
);

Then(
    "every engine outside a replica group has {string} loaded and {string} staged in host memory",
    (loaded: string, staged: string) => {
        const standbys = fleet.listEngines().filter(view =>
            parseGroupName(view.engine?.group?.name ?? "")?.isStandby !== false
        );
        ok(standbys.length > 0);
        for (const view of standbys) {
            strictEqual(parseGroupName(view.engine?.group?.name ?? "")?.model, loaded);
            deepStrictEqual(view.engine?.staged, [staged]);
        }
    },
);

When("a new leader knows only half of the engines for {int} ms", (ms: number) => {
    fleet.resetLeader();
    fleet.hasCompleteView = false;
    fleet.listEngines().filter((_, at) => at % 2 === 0).forEach(view => fleet.hidden.add(view.id));
    ordersBefore = fleet.orders.length;
    fleet.advance(ms);
});

Then("no order was given meanwhile", () => strictEqual(fleet.orders.length, ordersBefore));

When("a {string} group loses a member while there is no leader", (model: string) => {
    fleet.resetLeader();
    fleet.hasCompleteView = false;
    fleet.crashMember(model, 2);
});

When(
    "a member of a {string} group is lost every {int} ms, {int} times in all",
    (model: string, everyMs: number, times: number) => {
        for (let at = 0; at < times; at++) {
            fleet.crashMember(model, at % 3);
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
        deepStrictEqual(fleet.violations, []);
    },
);

When(
    "a member of rank {int} of a {string} group becomes {int} times slower",
    (rank: number, model: string, pace: number) => {
        slowId = fleet.setMemberPace(model, rank, pace);
    },
);

When("a new leader does not know the head of a {string} group, and a member of that group is lost", (model: string) => {
    const [head] = fleet.listMembers(model);
    fleet.resetLeader();
    fleet.hidden.add(head);
    fleet.crashMember(model, 2);
});

When("a new leader that knows all engines takes over: {word}", (isNew: string) => {
    if (isNew === "yes") {
        fleet.resetLeader();
    }
});

When(
    "after a partition's time the sidecar of the head of a {string} group starts again, and a member of that group is lost",
    (model: string) => {
        fleet.isPartitionWindowOver = true;
        fleet.restartSidecar(fleet.listMembers(model)[0]);
        fleet.crashMember(model, 2);
    },
);

When("the heads of {string} groups accept only {float} of their work", (model: string, part: number) => {
    servingBefore = countServing(model);
    const heads = fleet.listEngines().filter(view =>
        view.engine?.group?.rank === 0 && parseGroupName(view.engine.group.name)?.model === model
    );
    heads.forEach(view => fleet.acceptedParts.set(view.id, part));
});

Then("more groups of {string} serve than before", (model: string) => {
    ok(countServing(model) > servingBefore, fleet.listServing().join(", "));
    deepStrictEqual(fleet.violations, []);
});

Then("no serving group was dissolved", () => {
    deepStrictEqual(fleet.orders.filter(item => item.order.kind === "leave"), []);
});

When("{int} ms pass", (ms: number) => fleet.advance(ms));

Then("a group of {string} serves without the slow member within {int} ms", (model: string, withinMs: number) => {
    const isDone = () => countServing(model) === 1 && !fleet.listMembers(model).includes(slowId);
    const tookMs = waitFor(isDone, withinMs);
    ok(isDone(), `not after ${tookMs} ms`);
    deepStrictEqual(fleet.violations, []);
});

Then("the slow member still serves", () => ok(fleet.listMembers("big").includes(slowId)));

Then("at least {int} groups serve", (count: number) => {
    ok(fleet.listServing().length >= count, fleet.listServing().join(", "));
});

Then("a group of {string} serves again within {int} ms", (model: string, withinMs: number) => {
    const tookMs = waitFor(() => countServing(model) === 1, withinMs);
    ok(countServing(model) === 1, `not after ${tookMs} ms`);
    deepStrictEqual(fleet.violations, []);
});

Then("no group opened incomplete and no member left a serving group", () => {
    deepStrictEqual([...violations, ...fleet.violations], []);
});
