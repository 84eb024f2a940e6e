import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import type { PermitWant } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { ColdEndpoints, type ColdView } from "./coldEndpoints.js";
import { EndpointLimits } from "./endpointLimits.js";

const ENDPOINT = "e@1";
const GATEWAYS = 4;
const MS_PER_SECOND = 1000;

let clock: Clock;
let limits: EndpointLimits;
let lines: string[] = [];
let told: (number | undefined)[] = [];
let canGrant = true;
let calls = 0;
let sent = 0;
let cold: ColdEndpoints | undefined;
/** Requests before the cold time of which each call has told, and whether control answered it. */
let reports: { sent: number | undefined; isAnswered: boolean }[] = [];

function takePermits(wants: PermitWant[]) {
    calls++;
    reports.push(...wants.map(want => ({ sent: want.cold?.sent, isAnswered: canGrant })));
    return canGrant
        ? Promise.resolve(wants.map(({ endpoint, count }) => ({ endpoint, count, nextMs: 0, retryAfterMs: 0 })))
        : Promise.reject(new Error("no leader"));
}

async function recordResponses(count: number, text: string): Promise<void> {
    const value = Number(text);
    for (let at = 0; at < count; at++) {
        const perSecond = Number.isNaN(value) ? undefined : value;
        const sentAt = performance.now();
        await clock.tickAsync(10);
        limits.recordResponse({ endpoint: ENDPOINT, sentAt, limit: { perSecond, text } }, performance.now());
    }
    await clock.tickAsync(10);
}

/** Sends a request if there is a permit, otherwise asks for one. */
function trySend(): void {
    const now = performance.now();
    if (limits.hasPermit(ENDPOINT, now)) {
        limits.takePermit(ENDPOINT, now);
        sent++;
        return;
    }
    limits.askForPermit(ENDPOINT, now);
}

Before({ tags: "@endpoint-limits" }, () => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"] });
    lines = [];
    told = [];
    canGrant = true;
    calls = 0;
    sent = 0;
    cold = undefined;
    reports = [];
    limits = new EndpointLimits({
        logger: createLogger({ write: line => lines.push(line) }),
        sendAll: facts => told.push(...facts.map(fact => fact.perSecond)),
        takePermits,
        countGateways: () => GATEWAYS,
        random: () => 0,
    });
});

After({ tags: "@endpoint-limits" }, () => {
    cold?.close();
    limits.close();
    clock.uninstall();
});

Given("an endpoint that names the limit {string}", (text: string) => recordResponses(1, text));

When("{int} of its responses name the limit {string}", (count: number, text: string) => recordResponses(count, text));

When("control grants what it is asked for", async () => {
    trySend();
    await clock.tickAsync(10);
});

When(
    "control does not answer, and a request is tried every {int} ms for {int} s",
    async (ms: number, seconds: number) => {
        canGrant = false;
        const endsAt = performance.now() + seconds * MS_PER_SECOND;
        while (performance.now() < endsAt) {
            trySend();
            await clock.tickAsync(ms);
        }
    },
);

When("{int} ms pass without a request", (ms: number) => clock.tickAsync(ms));

Given("an endpoint of a service with a cold time, to which {int} requests were sent", (count: number) => {
    const logger = createLogger({ write: () => undefined });
    const view: ColdView = { service: "s", dataCentre: "d", heartbeatAt: 0 };
    const profile = { durationMs: 3000, perSecond: 32 };
    const coldEndpoints: ColdEndpoints = new ColdEndpoints({
        logger,
        findView: () => view,
        getService: name => ({ name, maxConnections: 64, engine: undefined, cold: profile }),
        hasContact: () => true,
        countGateways: () => GATEWAYS,
        sendAll: () => undefined,
        onCold: endpoint => limits.restartPermits(endpoint, performance.now()),
    });
    cold = coldEndpoints;
    limits = new EndpointLimits({
        logger,
        sendAll: () => undefined,
        takePermits,
        countGateways: () => GATEWAYS,
        cold: coldEndpoints,
        random: () => 0,
    });
    for (let at = 0; at < count; at++) {
        limits.takePermit(ENDPOINT, performance.now());
    }
});

When("control does not answer, and the endpoint becomes cold", async () => {
    canGrant = false;
    limits.recordCold(ENDPOINT, 3000, performance.now());
    await clock.tickAsync(10);
});

When("control answers again", () => {
    canGrant = true;
});

Then(
    "control was told of {int} requests in each failed call, and once in a call that it answered",
    (count: number) => {
        const [failed, ...answered] = reports;
        deepStrictEqual(failed, { sent: count, isAnswered: false });
        deepStrictEqual(answered, [{ sent: count, isAnswered: true }]);
    },
);

Then("{int} line says that a limit is invalid", (count: number) => {
    strictEqual(lines.filter(line => line.includes("event=endpoint-limit-invalid ")).length, count);
});

Then("its requests are limited", () => strictEqual(limits.count(performance.now()), 1));

Then("a request for it is sent after one call for permits", () => {
    trySend();
    strictEqual(sent, 1);
    strictEqual(calls, 1);
});

Then("control has been told of the limits {string}", (expected: string) => strictEqual(told.join(", "), expected));

Then("{int} to {int} requests are sent", (least: number, most: number) => {
    ok(sent >= least && sent <= most, `${sent} requests`);
});

Then("there is no permit for it", () => strictEqual(limits.hasPermit(ENDPOINT, performance.now()), false));
