import { Given, Then, When } from "@cucumber/cucumber";
import { ok, strictEqual } from "node:assert";
import { LoadBudget } from "./loadBudget.js";

const STEP_MS = 10;

let budget: LoadBudget;
let starts: number[] = [];

function requestLoads(durationMs: number, forMs: number): void {
    starts = [];
    for (let now = 0; now <= forMs; now += STEP_MS) {
        if (budget.admitLoad(now, durationMs)) {
            starts.push(now);
        }
    }
}

Given(
    "a weight store with {int} loads a second and {int} at a time",
    (loadsPerSecond: number, maxConcurrent: number) => {
        budget = new LoadBudget({ loadsPerSecond, maxConcurrent }, 0);
    },
);

When("a load is requested every 10 ms for {int} ms", (forMs: number) => requestLoads(1, forMs));

When("a load of {int} ms is requested every 10 ms for {int} ms", (durationMs: number, forMs: number) => {
    requestLoads(durationMs, forMs);
});

Then("no window of {int} ms contains more than {int} starts", (windowMs: number, maxStarts: number) => {
    for (const start of starts) {
        const inWindow = starts.filter(at => at >= start && at < start + windowMs).length;
        ok(inWindow <= maxStarts, `${inWindow} starts in the window from ${start} ms`);
    }
});

Then("{int} loads have started", (count: number) => strictEqual(starts.length, count));
