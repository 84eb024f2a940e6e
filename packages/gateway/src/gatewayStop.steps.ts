import { After, Given, Then, When } from "@cucumber/cucumber";
import { RequestKind, type TrafficRoute } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { match, strictEqual } from "node:assert";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness } from "./testing/forwardingHarness.js";
import { sendAnswer } from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
const ROUTES: Record<string, Partial<TrafficRoute>> = {
    "repeatable requests": { kind: RequestKind.Idempotent, isResumable: false, timeoutMs: 20_000, maxEndpoints: 1 },
    "non-repeatable requests": {
        kind: RequestKind.NonIdempotent,
        isResumable: false,
        timeoutMs: 20_000,
        maxEndpoints: 1,
    },
};
const BODY = "0123456789";
/** Time from the signal to the first turn in which idle connections are closed, in milliseconds. */
const CLOSES_IDLE_MS = 2550;

let clock: Clock;
let harness: ForwardingHarness;
let caller: CallerSocket;
let stopWithinMs = 0;

After({ tags: "@gateway-stop" }, () => {
    harness.close();
    clock.uninstall();
});

async function sendPart(part: string): Promise<void> {
    caller = harness.openConnection();
    const body = part === "half" ? BODY.slice(0, BODY.length / 2) : BODY;
    await harness.sendRequest(caller, { "content-length": String(BODY.length) }, body);
}

Given(/^a gateway that serves (.+) and stops within (\d+) ms$/, (kind: string, ms: string) => {
    clock = install({ toFake: FAKED });
    harness = new ForwardingHarness({ clock, endpoints: 1, route: ROUTES[kind] });
    stopWithinMs = Number(ms);
});

Given("a caller that reads nothing has sent a request", async () => {
    await sendPart("all");
    caller.stopReading();
});

Given("another caller has sent a request", () => sendPart("all"));

Given("a caller that has sent {word} of a request", (part: string) => sendPart(part));

async function answer(bytes: number): Promise<void> {
    sendAnswer(
        harness.endpoints[0].attempts.at(-1) ?? harness.endpoints[0].listOpenAttempts()[0],
        200,
        "x".repeat(bytes),
    );
    await harness.settle();
}

Given("the endpoint answers it with {int} bytes", (bytes: number) => answer(bytes));

Given("a caller that has an answer to its request", async () => {
    await sendPart("all");
    await answer(1);
});

When("the stop begins, and {int} ms pass", async (ms: number) => {
    void harness.stop(stopWithinMs);
    await harness.advance(ms);
});

When(
    "the stop begins, and a request arrives after the timers of the turn in which idle connections are closed",
    async () => {
        void harness.stop(stopWithinMs);
        await harness.advance(CLOSES_IDLE_MS - 1);
        clock.tick(1);
        await Promise.resolve();
        await harness.sendRequest(caller, { "content-length": String(BODY.length) }, BODY);
    },
);

When("a caller opens a connection, and sends its request {int} ms later", async (ms: number) => {
    caller = harness.openConnection();
    await harness.advance(ms);
    await harness.sendRequest(caller, { "content-length": String(BODY.length) }, BODY);
});

When("the caller reads on", async () => {
    caller.startReading();
    await harness.advance(100);
});

When("the caller sends the other half", async () => {
    caller.send(BODY.slice(BODY.length / 2));
    await harness.settle();
});

When("a caller sends two requests at once", async () => {
    caller = harness.openConnection();
    const head = ["POST /a/ HTTP/1.1", "host: h.example", "content-length: 0", "", ""].join("\r\n");
    caller.send(head + head);
    await harness.settle();
});

Then("the endpoint has {int} request(s)", (count: number) => strictEqual(harness.endpoints[0].attempts.length, count));

function readStatus(): string | undefined {
    return /^HTTP\/1\.1 (\d+)/.exec(caller.received.slice(caller.received.lastIndexOf("HTTP/1.1")))?.[1];
}

Then("the caller has an answer with status {int}", (status: number) => strictEqual(readStatus(), String(status)));

Then("the caller has an answer with status {int} and {int} bytes", (status: number, bytes: number) => {
    strictEqual(readStatus(), String(status));
    strictEqual(/x*$/.exec(caller.received)?.[0].length, bytes);
});

Then("the caller's connection is announced to close", () => match(caller.received, /\r\nconnection: close\r\n/i));

let sendsBefore = 0;

Given("{int} requests were served, which took {int} ms each", async (count: number, durationMs: number) => {
    for (let at = 0; at < count; at++) {
        await sendPart("all");
        await harness.advance(durationMs);
        await answer(1);
    }
    sendsBefore = harness.endpoints[0].attempts.length;
});

Then("the endpoint has {int} request more", (count: number) => {
    strictEqual(harness.endpoints[0].attempts.length - sendsBefore, count);
});

Then(
    /^the caller has an answer with status (\d+) (at once|once the endpoint sends)$/,
    async (status: number, when: string) => {
        if (when !== "at once") {
            await answer(1);
        }
        strictEqual(readStatus(), String(status));
    },
);
