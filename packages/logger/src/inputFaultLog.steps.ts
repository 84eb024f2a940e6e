import { Given, Then, When } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { InputFaultLog } from "./inputFaultLog.js";
import { createLogger } from "./logger.js";

let faults: InputFaultLog;
let lines: string[] = [];
let counted = 0;
let now = 0;

function recordFault(writer: string): void {
    faults.record({ kind: "heartbeat", reason: "/Address is missing", writer }, now);
}

Given(
    "a log of refused input with an interval of {int} ms for {int} writers",
    (intervalMs: number, maxKeys: number) => {
        lines = [];
        counted = 0;
        now = 0;
        const logger = createLogger({ write: line => lines.push(line) });
        faults = new InputFaultLog({ logger, intervalMs, maxKeys, onFault: () => counted++ });
    },
);

When(
    "{int} faults of {string} and {int} fault of {string} are recorded within {int} ms",
    (first: number, writer: string, second: number, other: string, durationMs: number) => {
        for (let at = 0; at < first; at++) {
            now = at * durationMs / first;
            recordFault(writer);
        }
        for (let at = 0; at < second; at++) {
            recordFault(other);
        }
    },
);

When("{int} fault of {string} is recorded after {int} ms", (count: number, writer: string, atMs: number) => {
    now = atMs;
    for (let at = 0; at < count; at++) {
        recordFault(writer);
    }
});

When("{int} writers cause a fault each within {int} ms", (writers: number, durationMs: number) => {
    for (let at = 0; at < writers; at++) {
        now = at * durationMs / writers;
        recordFault(`w-${at}`);
    }
});

function describeLine(line: string): string {
    return `${/writer=(\S+)/.exec(line)?.[1]} ${/count=(\d+)/.exec(line)?.[1]}`;
}

Then("the lines are {string}", (expected: string) => strictEqual(lines.map(describeLine).join(", "), expected));

Then("{int} lines are logged, the last of {string}", (count: number, writer: string) => {
    strictEqual(lines.length, count);
    strictEqual(describeLine(lines[count - 1]).split(" ")[0], writer);
});

Then("{int} faults are counted", (count: number) => strictEqual(counted, count));
