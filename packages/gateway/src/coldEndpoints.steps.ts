import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import type { ColdFact, ColdProfile } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, strictEqual } from "node:assert";
import { ColdEndpoints, type ColdView } from "./coldEndpoints.js";
import { RouteTable } from "./routeTable.js";

const ENDPOINT = "e@1";

let clock: Clock;
let cold: ColdEndpoints;
let profile: ColdProfile | undefined;
let view: ColdView;
let hasContact = true;
let lines: string[] = [];
let sent: ColdFact[] = [];
let lookUps = 0;
let table: RouteTable;

Before({ tags: "@cold-endpoints" }, () => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"] });
    lines = [];
    sent = [];
    lookUps = 0;
    hasContact = true;
    view = { service: "s", dataCentre: "d", heartbeatAt: performance.now() };
    cold = new ColdEndpoints({
        logger: createLogger({ write: line => lines.push(line) }),
        findView: () => {
            lookUps++;
            return view;
        },
        getService: name => ({ name, maxConnections: 64, engine: undefined, cold: profile }),
        isDeclared: () => profile !== undefined,
        hasContact: () => hasContact,
        countGateways: () => 4,
        sendAll: facts => sent.push(...facts),
    });
});

After({ tags: "@cold-endpoints" }, () => {
    cold.close();
    clock.uninstall();
});

Given("a service with a cold time of {int} ms and {int} requests a second", (durationMs: number, perSecond: number) => {
    profile = { durationMs, perSecond };
});

Given("a service without a cold time", () => {
    profile = undefined;
});

When("a heartbeat reports a cold time of {int} ms", (coldMs: number) => {
    const now = performance.now();
    view = { ...view, heartbeatAt: now, coldUntil: coldMs === 0 ? undefined : now + coldMs };
    cold.check(ENDPOINT, now);
});

When("a response reports a cold time of {int} ms", (coldMs: number) => {
    cold.recordResponse(ENDPOINT, coldMs, performance.now());
});

When("another gateway reports a cold time of {int} ms", (coldMs: number) => {
    cold.record([{ endpoint: ENDPOINT, coldMs, ageMs: 0 }], performance.now());
});

When("data centre {string} returns", (dataCentre: string) => cold.recordReturn(dataCentre, performance.now()));

When("contact to control is lost", () => {
    hasContact = false;
});

When("contact to control is regained", () => {
    hasContact = true;
});

When("{int} requests are sent to the endpoint", (count: number) => {
    for (let at = 0; at < count; at++) {
        cold.recordSend(ENDPOINT, performance.now());
    }
});

When("{int} ms go by", (ms: number) => clock.tickAsync(ms));

Then(/^the endpoint is (limited|not limited)$/, (expected: string) => {
    strictEqual(cold.findRate(ENDPOINT, performance.now()) === undefined ? "not limited" : "limited", expected);
});

Then("{int} endpoints were looked up", (count: number) => strictEqual(lookUps, count));

When(/^a route table applies (nothing|a .*)$/, (updates: string) => {
    table = new RouteTable();
    for (const update of updates === "nothing" ? [] : updates.split(", ")) {
        const declared = update.includes("with a ") ? { durationMs: 3000, perSecond: 32 } : undefined;
        table.apply({
            isSnapshot: update.startsWith("a snapshot"),
            since: 0,
            revision: 1,
            changes: [{
                key: "traffic",
                revision: 1,
                value: {
                    kind: "traffic",
                    version: 1,
                    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
                    services: [{ name: "s", maxConnections: 64, engine: undefined, cold: declared }],
                },
            }],
        });
    }
});

Then(/^a cold time is (declared|not declared)$/, (expected: string) => {
    strictEqual(table.hasColdService() ? "declared" : "not declared", expected);
});

Then("control is informed {int} times", (count: number) => strictEqual(sent.length, count));

Then("control is informed {int} times, of at most {int} ms", (count: number, mostMs: number) => {
    deepStrictEqual(sent.map(({ coldMs }) => coldMs <= mostMs), Array.from({ length: count }, () => true));
});

Then(
    /^the log has "(.+)" (once|0 times) and "(.+)" (once|0 times)$/,
    (first: string, firstCount: string, second: string, secondCount: string) => {
        const count = (event: string) => lines.filter(line => line.includes(`event=${event} `)).length === 1;
        strictEqual(count(first), firstCount === "once");
        strictEqual(count(second), secondCount === "once");
    },
);

When("control has answered a want", () => cold.recordReported(ENDPOINT, performance.now()));

Then("a want tells control of {int} requests", (count: number) => {
    strictEqual(cold.buildWant(ENDPOINT, performance.now())?.sent, count);
});
