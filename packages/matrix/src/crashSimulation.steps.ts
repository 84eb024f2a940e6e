import { Before, Given, Then } from "@cucumber/cucumber";
import { deepStrictEqual, ok } from "node:assert";
import { CrashSimulation, type CrashSimulationOptions, type CrashSimulationResult } from "./crashSimulation.js";

const DURATION_MS = 40_000;

let options: CrashSimulationOptions;
let results: CrashSimulationResult[] = [];

Before({ tags: "@crash-simulation" }, () => {
    options = {
        seed: 1,
        durationMs: DURATION_MS,
        endpoints: 7,
        soundPerSecond: 75,
        badPerSecond: 0,
        badParts: 0,
        resentEveryMs: 0,
        lossEveryMs: 0,
        endpointsPerLoss: 0,
        turnsBad: false,
        sendsHeadFirst: true,
    };
});

Given(
    "{int} endpoints, 5 gateways and {int} sound requests a second that share their prompt parts",
    (endpoints: number, soundPerSecond: number) => {
        options = { ...options, endpoints, soundPerSecond };
    },
);

Given(
    "{int} prompt parts that end endpoints, each in {float} requests a second",
    (badParts: number, badPerSecond: number) => {
        options = { ...options, badParts, badPerSecond };
    },
);

Given("a request that ends endpoints and is sent every {int} ms", (resentEveryMs: number) => {
    options = { ...options, resentEveryMs };
});

Given("{int} endpoints that end by themselves every {int} ms", (endpointsPerLoss: number, lossEveryMs: number) => {
    options = { ...options, endpointsPerLoss, lossEveryMs };
});

Given("responses that begin with their first content", () => {
    options = { ...options, sendsHeadFirst: false };
});

Given("a third of them end endpoints from the tenth second on", () => {
    options = { ...options, turnsBad: true };
});

function runSeeds(seeds: number): void {
    results = Array.from({ length: seeds }, (_, at) => new CrashSimulation({ ...options, seed: at + 1 }).run());
}

Then(
    "for {int} seeds at most {int} sends of what ends endpoints come later than 3000 ms after enough crashes",
    { timeout: 120_000 },
    (seeds: number, most: number) => {
        runSeeds(seeds);
        const late = results.flatMap((result, at) =>
            [...result.lateSends].filter(([, count]) => count > most).map(([name, count]) =>
                `seed ${at + 1}: ${name} ${count}`
            )
        );
        deepStrictEqual(late, []);
        ok(options.badParts + options.resentEveryMs === 0 || results.every(result => result.caused > 0));
    },
);

Then("nothing else is quarantined", () => {
    deepStrictEqual(
        results.flatMap((result, at) => result.wronglyQuarantined.map(key => `seed ${at + 1}: ${key}`)),
        [],
    );
});

Then("for {int} seeds that part is quarantined, and nothing else", { timeout: 120_000 }, (seeds: number) => {
    runSeeds(seeds);
    deepStrictEqual(results.map(result => result.quarantinedParts), results.map(() => ["first0"]));
    deepStrictEqual(results.flatMap(result => result.wronglyQuarantined), []);
});
