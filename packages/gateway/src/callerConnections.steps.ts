import { After, Given, Then, When } from "@cucumber/cucumber";
import { RequestKind } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness } from "./testing/forwardingHarness.js";
import { sendAnswer } from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
const BYTES: Record<string, string> = {
    "garbage": "\u0000garbage\r\n\r\n",
    "another version": "GET /a/ HTTP/9.9\r\n\r\n",
};

let clock: Clock;
let harness: ForwardingHarness;
let caller: CallerSocket;

After({ tags: "@caller-connections" }, () => {
    harness.close();
    clock.uninstall();
});

async function answer(): Promise<void> {
    harness.endpoints[0].listOpenAttempts().forEach(attempt => sendAnswer(attempt, 200, "answer"));
    await harness.settle();
}

Given("a gateway with a connection of a caller", () => {
    clock = install({ toFake: FAKED });
    harness = new ForwardingHarness({
        clock,
        endpoints: 1,
        route: { kind: RequestKind.Idempotent, isResumable: false },
    });
    caller = harness.openConnection();
});

Given("an answer to a first request", async () => {
    await harness.sendRequest(caller, { "content-length": "0" });
    await answer();
});

Given("a request that is under way", () => harness.sendRequest(caller, { "content-length": "0" }));

Given("the head of a request whose body comes in chunks", () => {
    return harness.sendRequest(caller, { "transfer-encoding": "chunked" });
});

When("the idle limit is reported", () => harness.reportIdle(caller));

When("the idle limit is reported, and a request arrives before the next turn", async () => {
    const reported = harness.reportIdle(caller);
    await harness.sendRequest(caller, { "content-length": "0" });
    await reported;
});

When(/^the caller sends (garbage|another version)$/, async (bytes: string) => {
    caller.send(BYTES[bytes]);
    await harness.settle();
});

When(
    /^the idle limit is (?:raised|lowered) to (\d+) ms$/,
    (ms: string) => harness.connections.applyIdleLimit(Number(ms)),
);

Then("the connection may be idle for at least {int} ms", (ms: number) => {
    ok(caller.idleLimitMs >= ms, `it is closed after ${caller.idleLimitMs} ms`);
});

When("the endpoint answers with status 200", answer);

Then("the request reaches the endpoint", () => strictEqual(harness.endpoints[0].listOpenAttempts().length, 1));

Then("the caller has one answer with status {int}", (status: number) => {
    const statuses = [...caller.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(match => Number(match[1]));
    deepStrictEqual(statuses, [status]);
});

Then("its connection is closed", () => ok(caller.destroyed));
