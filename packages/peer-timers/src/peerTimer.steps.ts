import { After, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { strictEqual } from "node:assert";
import { PeerTimer } from "./peerTimer.js";

let clock: Clock;
let timer: PeerTimer;
let limitMs = 0;
let isSilent = false;

After({ tags: "@peer-timers" }, () => {
    timer.stop();
    clock.uninstall();
});

/** Immediates are real, so that they run after what a step does in the turn of the timers. */
function startTimer(ms: number, allowsForStalls: boolean): void {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    limitMs = ms;
    isSilent = false;
    timer = new PeerTimer({
        allowsForStalls,
        onExpire: () => {
            isSilent = true;
        },
    });
    timer.start(ms);
}

function waitForPoll(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

Given("a peer that may be silent for {int} ms", (ms: number) => startTimer(ms, true));

Given("a peer that must answer within {int} ms", (ms: number) => startTimer(ms, false));

When("this process runs for {int} ms", async (ms: number) => {
    clock.tick(ms);
    await waitForPoll();
});

When("input of it is read", () => timer.start(limitMs));

When("this process stands still for {int} ms, and then reads input of it", async (ms: number) => {
    clock.jump(ms);
    timer.start(limitMs);
    await waitForPoll();
});

When("this process stands still for {int} ms", async (ms: number) => {
    clock.jump(ms);
    await waitForPoll();
});

When("it need not send anything more", () => timer.stop());

Then("it is silent", () => strictEqual(isSilent, true));

Then("it is not silent", () => strictEqual(isSilent, false));
