import { After, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import { type Clock, install } from "@sinonjs/fake-timers";
import { match, ok, strictEqual } from "node:assert";
import { Registry } from "prom-client";
import { StallMonitor } from "./stallMonitor.js";

/** How far the measured stall may differ from the real one, in milliseconds: the interval of the measurement. */
const TOLERANCE_MS = 250;

let clock: Clock;
let metrics: Registry;
let monitor: StallMonitor;
let lines: string[];

After({ tags: "@stall-monitor" }, () => {
    monitor.close();
    clock.uninstall();
});

Given("a process that monitors its stalls", () => {
    clock = install();
    metrics = new Registry();
    lines = [];
    monitor = new StallMonitor({ logger: createLogger({ write: line => lines.push(line) }), metrics });
});

When("it runs for {int} ms, stands still for {int} ms and runs for {int} ms", (
    beforeMs: number,
    stallMs: number,
    afterMs: number,
) => {
    clock.tick(beforeMs);
    clock.jump(stallMs);
    clock.tick(afterMs);
});

Then("{int} stall of about {int} ms is logged and counted", async (count: number, stallMs: number) => {
    strictEqual(lines.length, count);
    match(lines[0], /event=process-stalled/);
    ok(Math.abs(Number(/stalledMs=(\d+)/.exec(lines[0])?.[1]) - stallMs) <= TOLERANCE_MS, lines[0]);
    strictEqual(await readStalls(), count);
});

Then("no stall is logged or counted", async () => {
    strictEqual(lines.length, 0);
    strictEqual(await readStalls(), 0);
});

async function readStalls(): Promise<number> {
    const [counter] = await metrics.getMetricsAsJSON();
    return counter.values[0].value;
}
