import { Given, Then, When } from "@cucumber/cucumber";
import {
    type EndpointFact,
    EngineGroupState,
    type EngineStatus,
    RequestKind,
    type TrafficRoute,
} from "@kumquathall/types";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { CallerAge } from "./callerAge.js";
import { chooseEngine, type EngineCandidate, type EngineChoice } from "./chooseEngine.js";
import { EndpointBook } from "./endpointBook.js";
import { EventSplitter } from "./eventSplitter.js";
import { computeFingerprint } from "./fingerprint.js";
import { chooseTarget, RouteTable } from "./routeTable.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";
import { canTakeWhileStopping, planStop } from "./stopPlan.js";

const PROFILE = {
    slots: 34,
    kvCapacityTokens: 1_700_000,
    stride: 5,
    stepMs: 6.45,
    perSequenceMs: 0.1365,
    contextMsPerThousand: 0.0041,
    prefillTokensPerSecond: 56_100,
    pairsMsPerMillion: 0.309,
    prefillChunkTokens: 2048,
    loadsPerSecond: 3,
    maxConcurrentLoads: 6,
    usualPromptTokens: 1042,
    usualAnswerTokens: 131,
    formationMs: 300,
    models: [{ name: "m", groupSize: 6, share: 1, pace: 1, loadMs: 16_000, warmMs: 1600 }],
};

let book: EndpointBook;
let fate = "";
let table: RouteTable;
let route: TrafficRoute;
let candidates: EngineCandidate[] = [];
let choice: EngineChoice;
let events: (number | undefined)[] = [];
let rest = "";
let age = 0;
let budgets: SharedRetryBudget[] = [];
let budgetNow = 0;
let sharedRatio = 0;
let sharedSlack = 0;
let firsts: number[] = [];
let repeats: number[] = [];

function buildRoute(pathPrefix: string, targets: TrafficRoute["targets"], host = "h.example"): TrafficRoute {
    return {
        name: pathPrefix,
        host,
        pathPrefix,
        kind: RequestKind.Idempotent,
        timeoutMs: 1000,
        objectiveMs: 100,
        gapObjectiveMs: undefined,
        priority: 1,
        targets,
        maxEndpoints: 2,
        isPublic: true,
        isResumable: false,
    };
}

Given(
    "routes {string} to {string} and {string} to {string} of host {string}",
    (first: string, firstTarget: string, second: string, secondTarget: string, host: string) => {
        table = new RouteTable({
            version: 1,
            routes: [
                buildRoute(first, [{ service: firstTarget, weight: 1 }], host),
                buildRoute(second, [{ service: secondTarget, weight: 1 }], host),
            ],
            services: [],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
            accounts: [],
        });
    },
);

Then("a request for {string} of host {string} goes to {string}", (path: string, host: string, target: string) => {
    strictEqual(table.findRoute(host, path)?.targets[0].service ?? "", target);
});

Given(
    "a route with weights {int} for {string} and {int} for {string}",
    (first: number, firstTarget: string, second: number, secondTarget: string) => {
        route = buildRoute("/", [{ service: firstTarget, weight: first }, { service: secondTarget, weight: second }]);
    },
);

Then(
    "draws {float}, {float}, {float} and {float} choose {string}, {string}, {string} and {string}",
    (a: number, b: number, c: number, d: number, first: string, second: string, third: string, fourth: string) => {
        deepStrictEqual([a, b, c, d].map(draw => chooseTarget(route, draw)), [first, second, third, fourth]);
    },
);

Given(/^the stream "(.*)" in pieces of (\d+) bytes$/, (text: string, bytes: string) => {
    const data = Buffer.from(text.replaceAll("\\n", "\n").replaceAll("\\r", "\r"));
    const splitter = new EventSplitter();
    events = [];
    for (let at = 0; at < data.length; at += Number(bytes)) {
        events.push(...splitter.push(data.subarray(at, at + Number(bytes))).map(event => event.id));
    }
    rest = splitter.getRest().toString();
});

Then(/^the events are 1 and 2, and "(.*)" is left over$/, (left: string) => {
    deepStrictEqual(events, [1, 2]);
    strictEqual(rest, left.replaceAll("\\n", "\n"));
});

Given("groups with {int}, {int} and {int} requests of 34 slots", (first: number, second: number, third: number) => {
    candidates = [first, second, third].map((count, at) => ({
        endpointId: String(at + 1),
        load: {
            running: Math.min(count, PROFILE.slots),
            waiting: Math.max(0, count - PROFILE.slots),
            pendingPrefillTokens: 0,
            kvUsedTokens: count * 1000,
            pace: 1,
        },
        failureScore: 0,
    }));
});

Given("group {int} fails most requests", (group: number) => {
    candidates[group - 1].failureScore = 0.8;
});

Then(
    "a gateway that stops within {int} ms takes a request of up to {int} ms that comes {int} ms after the signal: {word}",
    (stopWithinMs: number, mayNeedMs: number, sinceStopMs: number, expected: string) => {
        strictEqual(canTakeWhileStopping(planStop(stopWithinMs), sinceStopMs, mayNeedMs) ? "yes" : "no", expected);
    },
);

function computeFingerprintOf(body: string): string {
    return computeFingerprint("account", "POST", "/path", Buffer.from(body));
}

Given("a gateway that hears of {int} endpoints that ended under a request", (count: number) => {
    book = new EndpointBook(() => undefined);
    for (let at = 0; at < count; at++) {
        book.record([{ kind: "crash", fingerprint: computeFingerprintOf("poison"), endpoint: `e${at}@1` }], 0);
    }
});

Then("the request is fenced off when it comes again: {word}", (expected: string) => {
    strictEqual(book.isFenced(() => computeFingerprintOf("poison")) ? "yes" : "no", expected);
});

Then("a request with another body is not fenced off", () => {
    strictEqual(book.isFenced(() => computeFingerprintOf("other")), false);
});

Given("no groups", () => {
    candidates = [];
});

When("a request comes with {int} ms to its objective", (untilObjectiveMs: number) => {
    choice = chooseEngine({
        profile: PROFILE,
        model: PROFILE.models[0],
        promptTokens: 1000,
        candidates,
        firstEventBiasMs: 100,
        untilObjectiveMs,
        untilGivenUpMs: 2000,
        random: 0.5,
    });
});

Then("it goes to group {int}", (group: number) => {
    ok(choice.kind === "send");
    strictEqual(choice.endpointId, String(group));
});

Then("it is refused and asked to return within {int} to {int} ms", (least: number, most: number) => {
    ok(choice.kind === "refuse");
    ok(choice.retryAfterMs >= least && choice.retryAfterMs <= most);
});

Then("there is no group to send it to", () => strictEqual(choice.kind, "none"));

Given("requests of a route that ask for {int}, {int} and {int} ms", (first: number, second: number, third: number) => {
    const ages = new CallerAge();
    age = [first, second, third].map(deadline => ages.record("r", deadline))[2];
});

Then("the last of them is {int} ms old", (expected: number) => strictEqual(age, expected));

Given(
    "{int} gateways that share a ratio of {float} and a slack of {int} and know only themselves for the first {int} ms",
    (count: number, ratio: number, slack: number, unknownMs: number) => {
        budgetNow = 0;
        sharedRatio = ratio;
        sharedSlack = slack;
        const countGateways = () => budgetNow < unknownMs ? 1 : count;
        budgets = Array.from({ length: count }, () => new SharedRetryBudget({ ratio, slack, countGateways }));
    },
);

When(
    "each gets {int} requests a second for {int} ms and repeats every one of them {int} times if it may",
    (perSecond: number, lastsMs: number, times: number) => {
        firsts = [];
        repeats = [];
        for (budgetNow = 0; budgetNow < lastsMs; budgetNow += 1000 / perSecond) {
            for (const budget of budgets) {
                budget.recordRequest();
                firsts.push(budgetNow);
                repeats.push(
                    ...Array.from({ length: times }, () => budget.takeRetry()).filter(Boolean).map(() => budgetNow),
                );
            }
        }
    },
);

function buildMember(rank: number, isLeaving: boolean, sequence: number): EndpointFact {
    return {
        kind: "heartbeat",
        id: `e${rank}`,
        service: "s",
        address: `h${rank}:1`,
        dataCentre: "d",
        slots: 34,
        isLeaving,
        bornMs: 1,
        sequence,
        engine: buildStatus(rank),
    };
}

function buildStatus(rank: number): EngineStatus {
    return {
        orderSequence: 2,
        isBusy: false,
        running: 1,
        waiting: 0,
        kvUsedTokens: 0,
        kvTotalTokens: 0,
        pace: 1,
        models: ["m"],
        staged: ["m"],
        fabricDomain: "f",
        group: { name: "r-2-m", epoch: 7, rank, state: rank === 0 ? EngineGroupState.Open : EngineGroupState.Ready },
    };
}

Given("a group of 2 engines that runs a request", () => {
    fate = "goes on";
    book = new EndpointBook(() => undefined);
    book.record([buildMember(0, false, 1), buildMember(1, false, 1)], 0);
    book.listHeads("s", "m")[0].inFlight.add({
        sentAt: 0,
        promptTokens: 10,
        hasStarted: true,
        onLost: () => {
            fate = "is given up";
        },
    });
});

When("its second member announces its leaving", () => book.record([buildMember(1, true, 2)], 1));

When("its second member departs", () => book.record([{ kind: "departure", id: "e1", bornMs: 1 }], 1));

When("its second member is lost", () => {
    book.record([{
        kind: "observation",
        address: "h1:1",
        observerStartedMs: 1,
        number: 1,
        isReachable: false,
        bornMs: 1,
        engine: buildStatus(1),
    }], 1);
});

Then(/^the request (.+), and the group gets nothing new$/, (expected: string) => {
    strictEqual(fate, expected);
    strictEqual(book.listHeads("s", "m").length, 0);
});

Then(
    "no window of {int} ms holds more repeats than the ratio of its requests and the slack",
    (windowMs: number) => {
        const countFrom = (times: number[], start: number) =>
            times.filter(at => at >= start && at < start + windowMs).length;
        for (const start of new Set(firsts)) {
            const most = sharedRatio * countFrom(firsts, start) + sharedSlack;
            const count = countFrom(repeats, start);
            ok(count <= most, `${count} repeats from ${start} ms on, ${most} allowed`);
        }
    },
);
