import { Before, Given, Then, When } from "@cucumber/cucumber";
import type { LimitFact, PermitGrant } from "@kumquathall/types";
import { ok, strictEqual } from "node:assert";
import { LimitArbiter } from "./limitArbiter.js";

const ENDPOINT = "e@1";
const DAY_MS = 24 * 60 * 60 * 1000;
const COLD_RATE = 32;
/** Most requests to a cold endpoint in any second that the leader counts on. */
const GRANTED_IN_SECOND = 47;

let arbiter: LimitArbiter;
/** Time at which the last fact is recorded, in milliseconds. */
let recordedAt = 0;
/** Part of the gateways that are linked. */
let part = 1;

function buildFact(perSecond: number | undefined, at: number): LimitFact {
    recordedAt = Math.max(recordedAt, at);
    return { endpoint: ENDPOINT, perSecond, ageMs: recordedAt - at };
}

function record(perSecond: number | undefined, at: number): boolean {
    const fact = buildFact(perSecond, at);
    return arbiter.record([fact], recordedAt).length > 0;
}

function grant(gateway: string, count: number, at: number): PermitGrant {
    const fact = arbiter.board.findFact(ENDPOINT, at);
    ok(fact !== undefined);
    return arbiter.grant(gateway, [{ ...fact, count }], at)[0];
}

function grantCold(count: number, perSecond: number, sent: number, at: number): PermitGrant {
    const cold = { perSecond, maxInSecond: GRANTED_IN_SECOND, sent };
    const want = { endpoint: ENDPOINT, perSecond: undefined, ageMs: DAY_MS, count, cold };
    return arbiter.grant("g", [want], at, part)[0];
}

Before({ tags: "@limit-board" }, () => {
    part = 1;
    arbiter = new LimitArbiter();
    recordedAt = 0;
});

When("a response names the limit {float} at {int} ms", (perSecond: number, at: number) => {
    record(perSecond, at);
});

When("a response names no limit to a request sent at {int} ms", (at: number) => {
    record(undefined, at);
});

When("its endpoint no longer exists", () => arbiter.removeStale(() => false, recordedAt));

Then("the limit is {float} at {int} ms", (perSecond: number, at: number) => {
    strictEqual(arbiter.board.get(ENDPOINT, at)?.perSecond, perSecond);
});

Then("there is no limit at {int} ms", (at: number) => strictEqual(arbiter.board.get(ENDPOINT, at), undefined));

Then("a fact that names the limit {float} at {int} ms is a change", (perSecond: number, at: number) => {
    strictEqual(record(perSecond, at), true);
});

Then("a fact that names the limit {float} at {int} ms is no change", (perSecond: number, at: number) => {
    strictEqual(record(perSecond, at), false);
});

Then("a gateway that wants {int} permits at {int} ms gets {int}", (count: number, at: number, expected: number) => {
    strictEqual(grant("g", count, at).count, expected);
});

Then(
    "another gateway that wants {int} permits at {int} ms gets {int} and is told to return after {int} to {int} ms",
    (count: number, at: number, expected: number, least: number, most: number) => {
        const granted = grant("h", count, at);
        strictEqual(granted.count, expected);
        ok(granted.retryAfterMs >= least && granted.retryAfterMs <= most, `${granted.retryAfterMs} ms`);
    },
);

Given("a part of {float} of the gateways is linked", (linked: number) => {
    part = linked;
});

When("a gateway has sent {int} requests to a cold endpoint before {int} ms", (sent: number, at: number) => {
    grantCold(0, COLD_RATE, sent, at);
});

Then(
    "a gateway that wants {int} permits of a cold endpoint with a rate of {int} at {int} ms gets {int}",
    (count: number, perSecond: number, at: number, expected: number) => {
        strictEqual(grantCold(count, perSecond, 0, at).count, expected);
    },
);

Then(
    "a gateway that wants {int} permits of a cold endpoint with a rate of {int} at {int} ms gets {int} and is told to return after {int} to {int} ms",
    (count: number, perSecond: number, at: number, expected: number, least: number, most: number) => {
        const granted = grantCold(count, perSecond, 0, at);
        strictEqual(granted.count, expected);
        ok(granted.nextMs >= least && granted.nextMs <= most, `${granted.nextMs} ms`);
    },
);

Then("the permits of a cold endpoint are valid for {int} ms", (validMs: number) => {
    strictEqual(grantCold(0, COLD_RATE, 0, 0).validMs, validMs);
});
