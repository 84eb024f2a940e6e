import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { ok } from "node:assert";
import { StallWatch } from "./stallWatch.js";

const TURN_MS = 10;

let clock: Clock;
let watch: StallWatch;

After({ tags: "@stall-watch" }, () => {
    watch.close();
    clock.uninstall();
});

/** Immediates are real: they run after the poll of each turn. */
function waitForPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

Given("a process that watches its stalls", () => {
    clock = install({ toFake: ["setInterval", "clearInterval", "performance", "Date"] });
    watch = new StallWatch();
});

When("it runs for {int} ms", async (ms: number) => {
    for (let passedMs = 0; passedMs < ms; passedMs += TURN_MS) {
        clock.tick(TURN_MS);
        await waitForPoll();
    }
});

When(/^it stands still for (\d+) ms(, and its timers run before its input)?$/, (ms: string, timers: string | null) => {
    if (timers === null) {
        // Only the clocks advance, as for a process that is resumed while it polls.
        clock.setSystemTime(clock.now + Number(ms));
        const readClock = performance.now.bind(performance);
        performance.now = () => readClock() + Number(ms);
    }
    else {
        clock.jump(Number(ms));
    }
});

When("its VM is suspended for {int} ms", (ms: number) => clock.setSystemTime(clock.now + ms));

Then("what it reads has waited for {int} ms at most", (ms: number) => {
    ok(watch.measureWaitMs() <= ms + TURN_MS, `${watch.measureWaitMs()} ms`);
});

Then("what it reads may have waited for {int} ms", (ms: number) => {
    ok(watch.measureWaitMs() >= ms, `${watch.measureWaitMs()} ms`);
});
