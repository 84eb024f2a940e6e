import { Given, Then } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { explainRequest, type RequestExplanation } from "./explainRequest.js";
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
