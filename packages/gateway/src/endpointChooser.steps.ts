import { Given, Then, When } from "@cucumber/cucumber";
import { CapacitySharing } from "@kumquathall/capacity-sharing";
import { createLogger } from "@kumquathall/logger";
import type { TrafficRoute } from "@kumquathall/types";
import { ok, strictEqual } from "node:assert";
import { Gauge } from "prom-client";
import { CapacityReporter } from "./capacityReporter.js";
import { type EndpointChoice, EndpointChooser, type EndpointChooserOptions } from "./endpointChooser.js";
import { EndpointPause } from "./endpointPause.js";
import { FirstEventBiasEstimator } from "./firstEventBiasEstimator.js";

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
    usualAnswerTokens: 20,
    formationMs: 300,
    models: [{ name: "m", groupSize: 6, share: 1, pace: 1, loadMs: 16_000, warmMs: 1600 }],
};

let endpoints: { key: string }[] = [];
let used = 0;
let sharing: CapacitySharing;
let lines: string[] = [];
let choice: EndpointChoice;

Given("a gateway with {int} groups that use {int} of 34 slots", (groups: number, usedSlots: number) => {
    used = usedSlots;
    lines = [];
    sharing = new CapacitySharing({ countGateways: () => 1 });
    endpoints = Array.from({ length: groups }, (_, at) => ({
        key: `e${at}`,
        avoidUntil: 0,
        inFlight: new Set(),
        pause: new EndpointPause(),
        health: { getFailureScore: () => 0 },
    }));
});

When(
    /^a request with an objective of (\d+) ms and (\d+) ms left( that has been sent to a group)? chooses an endpoint$/,
    (objectiveMs: string, timeLeftMs: string, wasSent: string | null) => {
        const admittedFraction = new Gauge({
            name: "fraction",
            help: "-",
            labelNames: ["service", "model", "rank"] as const,
            registers: [],
        });
        const waiting = Math.max(0, used - PROFILE.slots);
        const running = used - waiting;
        const load = { running, waiting, pendingPrefillTokens: 0, kvUsedTokens: running * 1000, pace: 1 };
        const options = {
            table: {
                getService: () => ({ engine: PROFILE }),
                getShortestGapObjectiveMs: () => undefined,
                countEvacuated: () => 0,
                isEvacuated: () => false,
            },
            tracker: { listGroupHeads: () => endpoints, estimateLoad: () => load },
            limits: { hasPermit: () => true, countAboveColdShare: () => 0 },
            bias: new FirstEventBiasEstimator(),
            route: { objectiveMs: Number(objectiveMs), priority: 0 } as TrafficRoute,
            service: "s",
            head: { model: "m", promptTokens: 1000 },
            account: undefined,
            ageMs: 0,
            sharing,
            reporter: new CapacityReporter({
                logger: createLogger({ write: line => lines.push(line) }),
                admittedFraction,
            }),
            random: () => 0,
        };
        choice = new EndpointChooser(options as unknown as EndpointChooserOptions).choose(
            new Set(wasSent === null ? [] : ["e0"]),
            {
                now: 1000,
                timeToObjectiveMs: Number(objectiveMs),
                timeToAbandonmentMs: 2000,
                timeLeftMs: Number(timeLeftMs),
            },
        );
    },
);

Then(
    "it is refused with no-room for late, and returns after {int} to {int} ms",
    (least: number, most: number) => {
        const { endpoint, refusal, share } = choice;
        strictEqual(endpoint, undefined);
        strictEqual(refusal.name, "no-room");
        strictEqual(share?.reason, "late");
        const returnMs = refusal.retryAfterMs ?? 0;
        ok(returnMs >= least && returnMs <= most, `it returns after ${returnMs} ms`);
    },
);

Then("it is sent", () => ok(choice.endpoint !== undefined));

Then(
    /^(\d+) returns? (?:is|are) scheduled, and 1 capacity-shared line is logged$/,
    (count: string) => {
        strictEqual(sharing.listReturns(1000).reduce((sum, item) => sum + item.count, 0), Number(count));
        strictEqual(lines.filter(line => line.includes("event=capacity-shared")).length, 1);
    },
);
