import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import { ForwardingHarness } from "./testing/forwardingHarness.js";

let clock: Clock | undefined;
let harness: ForwardingHarness;

After({ tags: "@offered-work" }, () => {
    harness.close();
    clock?.uninstall();
    clock = undefined;
});

Given("a gateway without a group of model {string}", (name: string) => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"] });
    harness = new ForwardingHarness({
        clock,
        endpoints: 0,
        engine: {
            slots: 34,
            kvCapacityTokens: 100_000,
            stride: 5,
            stepMs: 6,
            perSequenceMs: 0.1,
            contextMsPerThousand: 0,
            prefillTokensPerSecond: 50_000,
            pairsMsPerMillion: 0,
            prefillChunkTokens: 2048,
            loadsPerSecond: 4.8,
            maxConcurrentLoads: 7,
            usualPromptTokens: 1000,
            usualAnswerTokens: 130,
            formationMs: 300,
            models: [{ name, groupSize: 8, share: 1, pace: 1, loadMs: 16_000, warmMs: 1600 }],
        },
    });
});

When(
    "a caller sends {int} requests of model {string} with {int} ms left",
    async (count: number, model: string, deadlineMs: number) => {
        for (let at = 0; at < count; at++) {
            await harness.sendRequest(harness.openConnection(), {
                model,
                deadline: String(deadlineMs),
                "content-length": "0",
            });
        }
    },
);

Then("{int} requests of model {string} are reported", (count: number, model: string) => {
    const report = harness.demand.collect(performance.now() + 1000);
    strictEqual(report?.items.find(item => item.model === model)?.requests, count);
});
