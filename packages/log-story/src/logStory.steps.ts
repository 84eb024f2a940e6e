import { Given, Then } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { explainRequest, type RequestExplanation } from "./explainRequest.js";
import { listQuarantined } from "./listQuarantined.js";
import { type LogLine, parseLogLine } from "./parseLogLine.js";

let lines: LogLine[] = [];
let explanation: RequestExplanation;

Given("these log lines:", (text: string) => {
    lines = text.split("\n").flatMap(line => parseLogLine(line) ?? []);
});

Then("{string} ended with {string}", (requestId: string, summary: string) => {
    explanation = explainRequest(lines, requestId);
    strictEqual(explanation.summary, summary);
});

Then("its causes are {string}", (causes: string) => {
    strictEqual(explanation.causes.map(line => `${line.event} ${line.process}`).join(", "), causes);
});

Then("the log lines say that {string} is quarantined after crashes of {string}", (subject: string, crashes: string) => {
    const records = listQuarantined(lines);
    strictEqual(records.map(record => `${record.subject} ${record.fingerprint}`).join(), subject);
    strictEqual(records[0].crashes.join(), crashes);
});
