import { After, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import {
    type EndpointFact,
    EngineGroupState,
    type EngineStatus,
    RequestKind,
    type TrafficRoute,
} from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import {
    chooseReplicaGroup,
    type ReplicaGroupCandidate,
    type ReplicaGroupChoice,
    type ReplicaGroupChoiceInput,
} from "./chooseReplicaGroup.js";
import { EndpointTracker } from "./endpointTracker.js";
import { EventStreamParser } from "./eventStreamParser.js";
import { RequestAgeEstimator } from "./requestAgeEstimator.js";
import { chooseTarget, RouteTable } from "./routeTable.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";
import { canAcceptWhileStopping, planStop } from "./stopPlan.js";

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

const BUDGET_WINDOW_MS = 10_000;

let clock: Clock | undefined;
let tracker: EndpointTracker;
let outcome = "";
let table: RouteTable;
let route: TrafficRoute;
let candidates: ReplicaGroupCandidate[] = [];
let choice: ReplicaGroupChoice;
let events: (string | undefined)[] = [];
let rest = "";
let age = 0;
let budgets: SharedRetryBudget[] = [];
let budgetNow = 0;
let sharedRatio = 0;
let sharedSlack = 0;
let firstAttempts: number[] = [];
let retries: number[] = [];

After({ tags: "@gateway" }, () => {
    patient = { share: 0, deadlineMs: 0 };
    clock?.uninstall();
    clock = undefined;
});

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
        const routes = [
            buildRoute(first, [{ service: firstTarget, weight: 1 }], host),
            buildRoute(second, [{ service: secondTarget, weight: 1 }], host),
        ];
        table = new RouteTable();
        table.apply({
            since: 0,
            revision: 1,
            isSnapshot: true,
            changes: routes.map((item, at) => ({
                key: `traffic/route/${at}`,
                revision: 1,
                value: { kind: "trafficRoute", route: item },
            })),
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

Given(/^the stream "(.*)" in chunks of (\d+) bytes$/, (text: string, bytes: string) => {
    const data = Buffer.from(text.replaceAll("\\n", "\n").replaceAll("\\r", "\r"));
    const parser = new EventStreamParser();
    events = [];
    for (let at = 0; at < data.length; at += Number(bytes)) {
        events.push(...parser.push(data.subarray(at, at + Number(bytes))).map(event => event.id));
    }
    rest = parser.getIncompleteBytes().toString();
});

Then(/^the events are 1 and 2, and "(.*)" is incomplete$/, (expected: string) => {
    deepStrictEqual(events, ["1", "2"]);
    strictEqual(rest, expected.replaceAll("\\n", "\n"));
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
    "a gateway that stops within {int} ms accepts a request of up to {int} ms that arrives {int} ms after the signal: {word}",
    (stopWithinMs: number, maxDurationMs: number, sinceStopMs: number, expected: string) => {
        strictEqual(
            canAcceptWhileStopping(planStop(stopWithinMs), sinceStopMs, maxDurationMs) ? "yes" : "no",
            expected,
        );
    },
);

Given("no groups", () => {
    candidates = [];
});

function choose(input: Partial<ReplicaGroupChoiceInput>): void {
    choice = chooseReplicaGroup({
        profile: PROFILE,
        model: PROFILE.models[0],
        promptTokens: 1000,
        candidates,
        firstEventBiasMs: 100,
        timeToObjectiveMs: 400,
        timeToAbandonmentMs: 2000,
        random: 0.5,
        ...input,
    });
}

When("a request arrives with {int} ms to its objective", (timeToObjectiveMs: number) => choose({ timeToObjectiveMs }));

When(
    "a request of {int} prompt tokens and {int} answer tokens arrives, where events may be {int} ms apart",
    (promptTokens: number, answerTokens: number, gapObjectiveMs: number) =>
        choose({ promptTokens, answerTokens, gapObjectiveMs, timeToObjectiveMs: 2000 }),
);

When(
    "a request of {int} prompt tokens and {int} answer tokens arrives, where it has {int} ms to its objective",
    (promptTokens: number, answerTokens: number, timeToObjectiveMs: number) =>
        choose({ promptTokens, answerTokens, timeToObjectiveMs }),
);

Given("{int} ms are added to group {int} to spread gateways", (spreadMs: number, group: number) => {
    candidates[group - 1].spreadMs = spreadMs;
});

Given("group {int} runs at a pace of {int}", (group: number, pace: number) => {
    candidates[group - 1].load.pace = pace;
});

Given("group {int} uses {int} tokens of memory", (group: number, kvUsedTokens: number) => {
    candidates[group - 1].load.kvUsedTokens = kvUsedTokens;
});

Then("it goes to group {int}", (group: number) => {
    ok(choice.kind === "send");
    strictEqual(choice.endpointId, String(group));
});

Then("it is refused with a retry-after time of {int} to {int} ms", (min: number, max: number) => {
    ok(choice.kind === "refuse");
    ok(choice.retryAfterMs >= min && choice.retryAfterMs <= max);
});

Then("there is no group to send it to", () => strictEqual(choice.kind, "none"));

Given(
    "requests of a route with deadlines of {int}, {int} and {int} ms",
    (first: number, second: number, third: number) => {
        const ages = new RequestAgeEstimator();
        age = [first, second, third].map(deadline => ages.estimateAgeMs("r", deadline))[2];
    },
);

/** Estimated ages of first attempts and of retries, in milliseconds. */
let firstAges: number[] = [];
let retryAges: number[] = [];

/** Part of the callers that wait far longer, in hundredths, and for how long. */
let patient = { share: 0, deadlineMs: 0 };

Given("{int} in 100 callers wait {int} ms", (share: number, deadlineMs: number) => {
    patient = { share, deadlineMs };
});

Given(
    "{int} first attempts with deadlines from {int} to {int} ms, and a retry {int} ms later of {int} in 100 of them",
    (count: number, shortestMs: number, longestMs: number, afterMs: number, retried: number) => {
        const ages = new RequestAgeEstimator();
        firstAges = [];
        retryAges = [];
        for (let at = 0; at < count; at++) {
            // Multiples of irrational numbers fill the unit interval evenly and independently of each other.
            const deadlineMs = shortestMs + (longestMs - shortestMs) * (at * Math.SQRT2 % 1);
            const isPatient = at * Math.PI % 1 * 100 < patient.share;
            firstAges.push(ages.estimateAgeMs("r", isPatient ? patient.deadlineMs : deadlineMs));
            // Retries begin after a calm time, in which the spread of the callers is learned.
            if (!isPatient && at > count / 2 && at * Math.E % 1 * 100 < retried) {
                retryAges.push(ages.estimateAgeMs("r", deadlineMs - afterMs));
            }
        }
    },
);

Then(
    "at most {int} in 100 of the first attempts count as older than {int} ms, and none as older than {int} ms",
    (share: number, ageMs: number, maxMs: number) => {
        // The first deadlines of a route show little of its callers' spread.
        const later = firstAges.slice(100);
        ok(later.filter(age => age > ageMs).length <= later.length * share / 100, String(later));
        ok(later.every(age => age <= maxMs), String(Math.max(...later)));
    },
);

Then("at least {int} in 100 of the retries count as older than {int} ms", (share: number, ageMs: number) => {
    ok(retryAges.filter(age => age > ageMs).length >= retryAges.length * share / 100, String(retryAges));
});

Then("the last of them is {int} ms old", (expected: number) => strictEqual(age, expected));

Given(
    "{int} gateways that share a ratio of {float} and a slack of {int} and discover each other after {int} ms",
    (count: number, ratio: number, slack: number, discoveryMs: number) => {
        budgetNow = 0;
        sharedRatio = ratio;
        sharedSlack = slack;
        clock = install({ toFake: ["performance"] });
        const countGateways = () => budgetNow < discoveryMs ? 1 : count;
        budgets = Array.from(
            { length: count },
            () => new SharedRetryBudget({ ratio, slack, windowMs: BUDGET_WINDOW_MS, countGateways }),
        );
    },
);

When(
    "each gets {int} requests a second for {int} ms and retries every one of them {int} times if the budget allows",
    (perSecond: number, durationMs: number, times: number) => {
        firstAttempts = [];
        retries = [];
        for (budgetNow = 0; budgetNow < durationMs; budgetNow += 1000 / perSecond) {
            clock?.tick(1000 / perSecond);
            for (const budget of budgets) {
                budget.recordRequest();
                firstAttempts.push(budgetNow);
                retries.push(
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
    outcome = "continues";
    tracker = new EndpointTracker({ getService: () => undefined, logger: createLogger({ write: () => undefined }) });
    tracker.record([buildMember(0, false, 1), buildMember(1, false, 1)], 0);
    tracker.listGroupHeads("s", "m")[0].inFlight.add({
        sentAt: 0,
        promptTokens: 10,
        hasStarted: true,
        headAt: 0,
        firstContentAt: 0,
        describe: () => ({ fingerprint: "f", parts: [] }),
        onLost: () => {
            outcome = "fails";
        },
        onClosed: () => undefined,
    });
});

When("its second member announces its leaving", () => tracker.record([buildMember(1, true, 2)], 1));

When("its second member departs", () => tracker.record([{ kind: "departure", id: "e1", bornMs: 1 }], 1));

When("its second member is lost", () => {
    tracker.record([{
        kind: "observation",
        address: "h1:1",
        observerStartedMs: 1,
        number: 1,
        isReachable: false,
        bornMs: 1,
        engine: buildStatus(1),
    }], 1);
});

Then(/^the request (.+), and the group gets no new requests$/, (expected: string) => {
    strictEqual(outcome, expected);
    strictEqual(tracker.listGroupHeads("s", "m").length, 0);
});

Then("at least {float} of the retries after the first {int} ms are granted", (least: number, fromMs: number) => {
    const wanted = firstAttempts.filter(at => at >= fromMs).length;
    const granted = retries.filter(at => at >= fromMs).length;
    ok(granted >= least * wanted, `${granted} of ${wanted} were granted`);
});

Then(
    "no window of {int} ms has more retries than the ratio of its requests plus the slack",
    (windowMs: number) => {
        const countFrom = (times: number[], start: number) =>
            times.filter(at => at >= start && at < start + windowMs).length;
        for (const start of new Set(firstAttempts)) {
            const max = sharedRatio * countFrom(firstAttempts, start) + sharedSlack;
            const count = countFrom(retries, start);
            ok(count <= max, `${count} retries from ${start} ms on, ${max} allowed`);
        }
    },
);
