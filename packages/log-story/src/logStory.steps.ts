import { Given, Then } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { collectStory, type RequestStory } from "./collectStory.js";
import { type LogLine, parseLogLine } from "./parseLogLine.js";

let lines: LogLine[] = [];
let story: RequestStory;

Given("these lines:", (text: string) => {
    lines = text.split("\n").flatMap(line => parseLogLine(line) ?? []);
});

Then("{string} ended with {string}", (requestId: string, summary: string) => {
    story = collectStory(lines, requestId);
    strictEqual(story.summary, summary);
});

Then("its causes are {string}", (causes: string) => {
    strictEqual(story.causes.map(line => `${line.event} ${line.process}`).join(", "), causes);
});
