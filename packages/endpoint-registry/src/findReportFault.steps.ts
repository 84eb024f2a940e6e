import { Given, Then } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { runInNewContext } from "node:vm";
import { findCrashFault, findLimitFault } from "./findReportFault.js";

const REPORTS: Record<string, Record<string, unknown>> = {
    limit: { endpoint: "e@1", perSecond: 1, ageMs: 5 },
    crash: {
        kind: "crash",
        endpoint: "e@1",
        service: "s",
        reporter: "g",
        ageMs: 5,
        requests: [{ fingerprint: "f", parts: ["p"], stage: "unknown", sentBeforeMs: -3 }],
    },
    survival: { kind: "survival", subject: "request", id: "f", ageMs: 5 },
};

let report: Record<string, unknown> = {};
let findFault: (value: unknown) => string | undefined;

Given("a {string} report with {string} set to {string}", (kind: string, field: string, value: string) => {
    findFault = kind === "limit" ? findLimitFault : findCrashFault;
    strictEqual(findFault(REPORTS[kind]), undefined);
    report = { ...REPORTS[kind], [field]: runInNewContext(`(${value})`) as unknown };
});

Then("it can be used: {word}", (expected: string) => {
    strictEqual(findFault(report) === undefined ? "yes" : "no", expected);
});
