import { After, Given, Then, When } from "@cucumber/cucumber";
import { RequestKind, type TrafficRoute } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, strictEqual } from "node:assert";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness, SERVICE } from "./testing/forwardingHarness.js";
import {
    buildLossReport,
    buildRivalHeartbeat,
    endResponse,
    formatEvent,
    type ScriptedAttempt,
    type ScriptedEndpoint,
    sendAnswer,
    sendEvents,
} from "./testing/scriptedEndpoint.js";

const EVENTS = 6;
const ROUTES: Record<string, Partial<TrafficRoute>> = {
    "resumable streams": {},
    "repeatable requests": { kind: RequestKind.Idempotent, isResumable: false },
};

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];

let clock: Clock | undefined;
let harness: ForwardingHarness | undefined;
let callers: CallerSocket[] = [];
/** Slack of the retry budget of which a gateway that is alone gets two retries a second. */
const SLACK = 50;

function getHarness(): ForwardingHarness {
    if (harness === undefined) {
        throw new Error("there is no gateway; begin the scenario with one");
    }
    return harness;
}

function listOpenAttempts(): ScriptedAttempt[] {
    return getHarness().endpoints.flatMap(endpoint => endpoint.listOpenAttempts());
}

function formatEvents(): string {
    return Array.from({ length: EVENTS }, (_, at) => formatEvent(at + 1)).join("");
}

After({ tags: "@endpoint-silence or @stream-continuation" }, () => {
    harness?.close();
    harness = undefined;
    clock?.uninstall();
    clock = undefined;
});

Given(
    /^a gateway with (\d+) endpoints?, (\d+) retr(?:y|ies)(, 2 more a second from 5000 ms on,)? and (.+)$/,
    (endpoints: string, retries: string, more: string | undefined, route: string) => {
        const retrySlack = more === undefined && retries === "1" ? 0 : SLACK;
        // Half of the ratio is added for the first request.
        const retryRatio = 2 * (Number(retries) - 1);
        clock = install({ toFake: FAKED });
        harness = new ForwardingHarness({
            clock,
            endpoints: Number(endpoints),
            retrySlack,
            retryRatio,
            route: { maxEndpoints: Number(retries) + 1, ...ROUTES[route] },
        });
        callers = [];
    },
);

function reportLoss(endpoint: ScriptedEndpoint): void {
    getHarness().tracker.record([buildLossReport(endpoint.id)], performance.now());
}

async function sendRequests(count: number): Promise<void> {
    callers = Array.from({ length: count }, () => getHarness().openConnection());
    for (const caller of callers) {
        await getHarness().sendRequest(caller);
    }
}

Given("{int} callers that have received events 1 to {int}", async (count: number, last: number) => {
    await sendRequests(count);
    listOpenAttempts().forEach(attempt => sendEvents(attempt, last));
    await getHarness().settle();
});

Given("a caller that has sent a request", () => sendRequests(1));

When("the endpoints send nothing for {int} ms", (ms: number) => getHarness().advance(ms));

When(
    "the gateway stands still for {int} ms, and then reads event {int} of each stream",
    async (ms: number, event: number) => {
        getHarness().advanceAtOnce(ms);
        listOpenAttempts().forEach(attempt => sendEvents(attempt, event));
        await getHarness().settle();
    },
);

When("the gateway stands still for {int} ms, and then reads the answers", async (ms: number) => {
    getHarness().advanceAtOnce(ms);
    listOpenAttempts().forEach(attempt => sendAnswer(attempt, 200, "answer"));
    await getHarness().settle();
});

Then("no request was sent to another endpoint", () => {
    const sent = getHarness().endpoints.flatMap(endpoint => endpoint.attempts);
    deepStrictEqual(sent.map(attempt => attempt.request.headers["resume-after"]), callers.map(() => undefined));
});

When("another endpoint announces the address of its endpoint", async () => {
    const { tracker, endpoints } = getHarness();
    tracker.record(endpoints.map(endpoint => buildRivalHeartbeat(SERVICE, endpoint.id)), performance.now());
    await getHarness().settle();
});

When("they complete their streams with event {int}", async (last: number) => {
    for (const attempt of listOpenAttempts()) {
        sendEvents(attempt, last);
        endResponse(attempt);
    }
    await getHarness().settle();
});

When("the next endpoint rejects the stream", async () => {
    listOpenAttempts().forEach(attempt => sendAnswer(attempt, 503, "", { "not-run": "1" }));
    await getHarness().settle();
});

When("they answer with status {int}", async (status: number) => {
    listOpenAttempts().forEach(attempt => sendAnswer(attempt, status, "answer"));
    await getHarness().settle();
});

Then("each caller has received events 1 to 6 and the end of its stream", () => {
    const whole = { stream: formatEvents(), isWhole: true };
    const received = callers.map(caller => ({ stream: caller.getStream(), isWhole: caller.hasWholeStream() }));
    deepStrictEqual(received, callers.map(() => whole));
});

When("the endpoints are reported as lost", () => getHarness().endpoints.forEach(endpoint => reportLoss(endpoint)));

When("its endpoint is reported as lost", () => {
    getHarness().endpoints.filter(endpoint => endpoint.listOpenAttempts().length > 0).forEach(reportLoss);
});

Then("{int} streams have gone on at the other endpoint", (count: number) => {
    const resumed = listOpenAttempts().map(attempt => attempt.request.headers["resume-after"]);
    deepStrictEqual(resumed, Array.from({ length: count }, () => "3"));
});

Then("each caller has an answer with status {int}", (status: number) => {
    callers.forEach(caller => strictEqual(/^HTTP\/1\.1 (\d+)/.exec(caller.received)?.[1], String(status)));
});

/** The scenario under way, for the steps of other files. */
export function getSilenceScenario() {
    return { harness: getHarness(), callers, sendRequests, listOpenAttempts };
}
