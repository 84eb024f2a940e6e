import { Given, Then, When } from "@cucumber/cucumber";
import { strictEqual } from "node:assert";
import { getSilenceScenario } from "./endpointSilence.steps.js";
import { sendAnswer } from "./testing/scriptedEndpoint.js";

function fail(): never {
    throw new TypeError("the entry has no address");
}

Given("an error when a request is sent", () => {
    getSilenceScenario().harness.tracker.listPlainEndpoints = fail;
});

Given("an error when a request is being read", () => {
    getSilenceScenario().harness.codec.decodeRequest = fail;
});

Given("an error when a request gets its answer", () => {
    getSilenceScenario().harness.tracker.recordFirstContent = fail;
});

When("{int} callers send a request that the endpoint answers", async (count: number) => {
    const { harness, sendRequests, listOpenAttempts } = getSilenceScenario();
    await sendRequests(count);
    listOpenAttempts().forEach(attempt => sendAnswer(attempt, 200, "answer"));
    await harness.settle();
});

Then("each error is logged", () => {
    const { harness, callers } = getSilenceScenario();
    strictEqual(harness.lines.filter(line => line.includes("request-failed")).length, callers.length);
});
