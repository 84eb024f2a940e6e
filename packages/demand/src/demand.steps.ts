import { Given, Then, When } from "@cucumber/cucumber";
import type { DemandItem, EngineProfile } from "@kumquathall/types";
import { ok, strictEqual } from "node:assert";
import { DemandBoard } from "./demandBoard.js";
import { DemandMeter } from "./demandMeter.js";
import { DemandTotals } from "./demandTotals.js";

const SERVICE = "s";

let profile: EngineProfile;
let meter: DemandMeter;
let board: DemandBoard;
let totals: DemandTotals;
let items: DemandItem[] = [];
let fault: string | undefined;
let now = 0;

function offer(model: string, ageMs: number, promptTokens?: number): void {
    meter.record({
        service: SERVICE,
        profile,
        model,
        promptTokens,
        maxAnswerTokens: undefined,
        answerTokensHint: undefined,
        ageMs,
    });
}

function findItem(model: string): DemandItem {
    const found = items.find(item => item.model === model);
    ok(found !== undefined, `no item of ${model}`);
    return found;
}

function report(gateways: number, big: number, small: number, seconds: number, prefix: string): void {
    const build = (model: string, amount: number) => ({ service: SERVICE, model, workMs: amount, requests: amount });
    for (const endsAt = now + seconds * 1000; now < endsAt;) {
        now += 1000;
        for (let at = 0; at < gateways; at++) {
            const cast = {
                kind: "modelDemand" as const,
                items: [build("big", big), build("small", small)],
                intervalMs: 1000,
            };
            strictEqual(board.record(`${prefix}${at}`, cast, now), undefined);
        }
    }
}

Given(
    "a service with models {string} of {int} and {string} of {int} endpoints, of pace {float} and {float}",
    (first: string, firstSize: number, second: string, secondSize: number, firstPace: number, secondPace: number) => {
        const build = (name: string, groupSize: number, pace: number) => ({
            name,
            groupSize,
            share: 0.5,
            pace,
            loadMs: 16_000,
            warmMs: 1600,
        });
        profile = {
            slots: 34,
            kvCapacityTokens: 100_000,
            stride: 5,
            stepMs: 6,
            perSequenceMs: 0.1,
            contextMsPerThousand: 0,
            prefillTokensPerSecond: 50_000,
            pairsMsPerMillion: 0.01,
            prefillChunkTokens: 2048,
            loadsPerSecond: 4.8,
            maxConcurrentLoads: 7,
            usualPromptTokens: 1000,
            usualAnswerTokens: 130,
            formationMs: 300,
            models: [build(first, firstSize, firstPace), build(second, secondSize, secondPace)],
        };
        now = 10_000;
        meter = new DemandMeter(now);
        board = new DemandBoard();
        totals = new DemandTotals();
    },
);

When(
    "{int} requests of {string} arrive, and each returns {int} times",
    (count: number, model: string, returns: number) => {
        for (let at = 0; at < count; at++) {
            offer(model, 0);
            for (let attempt = 1; attempt <= returns; attempt++) {
                offer(model, attempt * 150);
            }
        }
    },
);

When(
    "a request of {string} names {int} prompt tokens and one names {int}",
    (model: string, first: number, second: number) => {
        items = [first, second].flatMap(tokens => {
            offer(model, 0, tokens);
            return meter.collect(now)?.items ?? [];
        });
    },
);

Then("both have the same work", () => {
    strictEqual(items.length, 2);
    strictEqual(items[0].workMs, items[1].workMs);
});

Then("the meter reports {int} requests of {string}", (count: number, model: string) => {
    items = meter.collect(now += 1000)?.items ?? [];
    strictEqual(findItem(model).requests, count);
});

Then("the meter reports nothing", () => strictEqual(meter.collect(now += 1000), undefined));

Then("the work of {string} is {float} times that of {string}", (first: string, factor: number, second: string) => {
    items = meter.collect(now += 1000)?.items ?? [];
    strictEqual(Number((findItem(first).workMs / findItem(second).workMs).toFixed(3)), factor);
});

When(
    "{int} gateways report {float} of {string} and {float} of {string} each second for {int} s",
    (gateways: number, big: number, _first: string, small: number, _second: string, seconds: number) =>
        report(gateways, big, small, seconds, "g"),
);

When(
    "{int} gateways report {float} of {string} and {float} of {string} each second for {int} s under another name",
    (gateways: number, big: number, _first: string, small: number, _second: string, seconds: number) =>
        report(gateways, big, small, seconds, "h"),
);

When(
    "a gateway reports {word} ms of work of {string} in {int} ms",
    (work: string, model: string, intervalMs: number) => {
        const item = { service: SERVICE, model, workMs: Number(work), requests: 1 };
        fault = board.record("g0", { kind: "modelDemand", items: [item], intervalMs }, now);
    },
);

Then("the report is refused", () => ok(fault !== undefined));

Then("no shares are known", () => strictEqual(board.computeShares(SERVICE, profile, now), undefined));

Then("the share of {string} is {float}", (model: string, share: number) => {
    strictEqual(Number(board.computeShares(SERVICE, profile, now)?.get(model)?.toFixed(3)), share);
});

Then("the total of {string} is {int} per second", (model: string, work: number) => {
    strictEqual(Math.round(board.listTotals(now).find(item => item.model === model)?.workMs ?? 0), work);
});

When("the leader sends a total of {int} ms of {string}", (workMs: number, model: string) => {
    const item = { service: SERVICE, model, workMs, requests: 1 };
    strictEqual(totals.record({ kind: "demandTotals", items: [item] }, now), undefined);
});

Then("the total is known after {int} ms", (ms: number) => {
    strictEqual(totals.find(SERVICE, "big", now + ms)?.workMs, 500);
});

Then("the total is not known after {int} ms", (ms: number) => {
    strictEqual(totals.find(SERVICE, "big", now + ms), undefined);
});
