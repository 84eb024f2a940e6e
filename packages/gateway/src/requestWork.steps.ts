import { After, Given, Then, When } from "@cucumber/cucumber";
import { EndpointWork, RequestCostEstimator } from "@kumquathall/request-cost";
import { RequestKind, type TrafficRoute } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { match, ok, strictEqual } from "node:assert";
import { chooseLeastLoadedEndpoint } from "./chooseLeastLoadedEndpoint.js";
import { EndpointHealth } from "./endpointHealth.js";
import type { SentRequest, TrackedEndpoint } from "./endpointTracker.js";
import type { RequestHead } from "./httpHeaderCodec.js";
import { pickCandidates } from "./pickCandidates.js";
import { RequestWork } from "./requestWork.js";
import type { RouteTable } from "./routeTable.js";
import { ForwardingHarness, SERVICE } from "./testing/forwardingHarness.js";
import { sendAnswer } from "./testing/scriptedEndpoint.js";

const TYPICAL = { promptTokens: 1000, answerTokens: 100, remainingTokens: 50 };
/** What is read of an engine profile. */
const ENGINE = { usualPromptTokens: 1000, usualAnswerTokens: 100, stride: 5, models: [] };

let costs = new RequestCostEstimator();
let work: RequestWork;
let sent: SentRequest;
let endpoint: TrackedEndpoint;
let endpoints: TrackedEndpoint[] = [];
let clock: Clock | undefined;
let harness: ForwardingHarness | undefined;

After({ tags: "@request-work" }, () => {
    harness?.close();
    harness = undefined;
    clock?.uninstall();
    clock = undefined;
});

function buildEndpoint(): TrackedEndpoint {
    return {
        inFlight: new Set(),
        work: new EndpointWork(1),
        view: { slots: 6 },
        health: new EndpointHealth(),
        reportedLoad: undefined,
    } as unknown as TrackedEndpoint;
}

function createWork(head: Partial<RequestHead> = {}): RequestWork {
    return new RequestWork({
        costs,
        request: {},
        body: Buffer.alloc(0),
        head: { model: "m", promptTokens: 1000, answerTokensHint: 100, ...head } as RequestHead,
        route: { name: "r", kind: RequestKind.Streaming, priority: 1 } as TrafficRoute,
        account: undefined,
        service: "s",
        table: { getService: () => ({ engine: ENGINE }) } as unknown as RouteTable,
    });
}

function sendWork(head: Partial<RequestHead> = {}): void {
    work = createWork(head);
    endpoint = buildEndpoint();
    sent = { sentAt: performance.now() } as SentRequest;
    work.recordSent(endpoint, sent, 1);
}

function receiveEvents(count: number): void {
    for (let at = 0; at < count; at++) {
        work.recordEvent(endpoint, sent);
    }
}

Given("a generation with the hint 100 at an endpoint", () => sendWork());

When("it has received {int} events of 5 tokens", receiveEvents);

When("its attempt ends", () => work.recordEnd(endpoint, sent));

Then("its endpoint has {int} to {int} tokens left", (min: number, max: number) => {
    const { requests } = endpoint.work.estimateGroup(TYPICAL);
    const left = requests.reduce((sum, request) => sum + request.remainingTokens, 0);
    ok(left >= min && left <= max, `${left}`);
});

Given(
    "{int} generations with the hint 100 that received {int} events of 5 tokens and ended as {string}",
    (count: number, events: number, outcome: string) => {
        costs = new RequestCostEstimator();
        for (let at = 0; at < count; at++) {
            sendWork(outcome === "streams that callers resumed" ? { lastEventId: "3" } : {});
            receiveEvents(events);
            work.recordEnd(endpoint, sent);
            if (outcome !== "broken streams") {
                work.recordServed(outcome === "answers of status 404" ? 404 : 200);
            }
        }
    },
);

Then(
    /^a generation with the hint 100 is estimated above (\d+) tokens: (yes|no)$/,
    (tokens: string, expected: string) => {
        const estimate = createWork().getGenerationCost()?.answerTokens ?? 0;
        strictEqual(estimate > Number(tokens) ? "yes" : "no", expected, `${estimate}`);
    },
);

Given(
    "an endpoint with {int} request of {int} ms and one with {int} requests of {int} ms, which both report their load",
    (first: number, firstMs: number, second: number, secondMs: number) => {
        endpoints = [[first, firstMs], [second, secondMs]].map(([count, ms]) => {
            const built = buildEndpoint();
            for (let at = 0; at < count; at++) {
                const request = { sentAt: 0 } as SentRequest;
                built.inFlight.add(request);
                built.work.addPlain(request, { duration: { logMean: Math.log(ms), logDeviation: 0.1 }, ms }, 0);
            }
            built.reportedLoad = { running: count, waiting: 0, at: 0 };
            return built;
        });
    },
);

Then("a request of {int} ms goes to the second", (ms: number) => {
    strictEqual(chooseLeastLoadedEndpoint(endpoints, 0, ms), endpoints[1]);
});

Then("where neither has reported its load, it goes to the first", () => {
    endpoints.forEach(item => item.reportedLoad = undefined);
    strictEqual(chooseLeastLoadedEndpoint(endpoints, 0, 20), endpoints[0]);
});

Then(
    "of {int} groups {int} different ones are considered, and of {int} all",
    (many: number, most: number, few: number) => {
        let state = 1;
        const draw = () => (state = state * 16807 % 2147483647) / 2147483647;
        const pick = (count: number) =>
            new Set(pickCandidates(Array.from({ length: count }, (_, at) => at), most, draw));
        strictEqual(pick(many).size, most);
        strictEqual(pick(few).size, few);
    },
);

Given("a gateway that answers a plain request after {int} ms", async (ms: number) => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"] });
    harness = new ForwardingHarness({
        clock,
        endpoints: 1,
        route: { kind: RequestKind.Idempotent, isResumable: false },
    });
    await harness.sendRequest(harness.openConnection());
    await harness.advance(ms);
    const [attempt] = harness.endpoints[0].listOpenAttempts();
    sendAnswer(attempt, 200, "x");
    await harness.settle();
});

Then("its log line has the estimated work and {int} ms of actual work", (ms: number) => {
    const line = harness?.lines.find(item => item.includes("event=request-ended")) ?? "";
    match(line, new RegExp(`estimatedWorkMs=\\d+ actualWorkMs=${ms} `));
});

Then("the ratio of both is counted, and no work is left at the endpoint", async () => {
    ok((await harness?.readCounter("kumquathall_gateway_cost_error_ratio") ?? 0) > 0);
    const [tracked] = harness?.tracker.listPlainEndpoints(SERVICE, performance.now()) ?? [];
    strictEqual(tracked.work.countOwn(), 0);
});
