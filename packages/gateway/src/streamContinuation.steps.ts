import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, match, ok } from "node:assert";
import { getSilenceScenario } from "./endpointSilence.steps.js";
import { buildEcho, formatEvent, type ScriptedAttempt } from "./testing/scriptedEndpoint.js";
import { STREAM_ANSWERS } from "./testing/streamAnswers.js";

const COMMENT = ": still here\n\n";

/** Begins a stream that says nothing of where it ends. */
function sendStreamHead(attempt: ScriptedAttempt): void {
    attempt.handler.onHead(200, { "signed": "1", "content-type": "text/event-stream", ...buildEcho(attempt) });
}

async function sendToOpen(text: string): Promise<void> {
    const { harness, listOpenAttempts } = getSilenceScenario();
    listOpenAttempts().forEach(attempt => attempt.handler.onData(Buffer.from(text)));
    await harness.settle();
}

Given("a caller that has received an event without an id", async () => {
    const { harness, sendRequests, listOpenAttempts } = getSilenceScenario();
    await sendRequests(1);
    listOpenAttempts().forEach(sendStreamHead);
    await sendToOpen("data: event\n\n");
    await harness.settle();
});

Given("a comment", () => sendToOpen(COMMENT));

When("the next one sends a comment", async () => {
    const { listOpenAttempts } = getSilenceScenario();
    listOpenAttempts().forEach(sendStreamHead);
    await sendToOpen(COMMENT);
});

When("its endpoint breaks off", async () => {
    const { harness, listOpenAttempts } = getSilenceScenario();
    for (const attempt of listOpenAttempts()) {
        attempt.hasEnded = true;
        attempt.handler.onFailure(new Error("other side closed"), true);
    }
    await harness.settle();
});

When(/^the next one answers with (.+)$/, async (answer: string) => {
    const { harness, listOpenAttempts } = getSilenceScenario();
    listOpenAttempts().forEach(attempt => STREAM_ANSWERS[answer](attempt));
    await harness.settle();
});

Then("each caller has received events 1 to 3, and its connection was closed", () => {
    const { callers } = getSilenceScenario();
    const expected = [1, 2, 3].map(formatEvent).join("");
    deepStrictEqual(callers.map(caller => caller.getStream()), callers.map(() => expected));
    ok(callers.every(caller => caller.destroyed && !caller.hasWholeStream()));
});

Then("no endpoint has a request, and the caller's connection was closed", () => {
    const { callers, listOpenAttempts } = getSilenceScenario();
    deepStrictEqual(listOpenAttempts(), []);
    ok(callers.every(caller => caller.destroyed && !caller.hasWholeStream()));
});

Then("each caller has received the end of its stream", () => {
    getSilenceScenario().callers.forEach(caller => match(caller.received, /event 6\n\n\r\n0\r\n\r\n$/));
});
