import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { getSilenceScenario } from "./endpointSilence.steps.js";
import { buildEcho, endResponse, formatEvent, type ScriptedAttempt } from "./testing/scriptedEndpoint.js";
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

When("its endpoint breaks off", () => breakStreams());

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

function formatStream(ids: string): string {
    return ids.split(", ").map(id => `id: ${id}\ndata: event\n\n`).join("");
}

/** Sends events of streams whose heads have not been sent. */
async function beginStreams(text: string): Promise<void> {
    getSilenceScenario().listOpenAttempts().forEach(sendStreamHead);
    await sendToOpen(text);
}

async function breakStreams(): Promise<void> {
    const { harness, listOpenAttempts } = getSilenceScenario();
    for (const attempt of listOpenAttempts()) {
        attempt.hasEnded = true;
        attempt.handler.onFailure(new Error("other side closed"), true);
    }
    await harness.settle();
}

Given("a caller that has received the events {string}", async (ids: string) => {
    await getSilenceScenario().sendRequests(1);
    await beginStreams(formatStream(ids));
});

Given("a caller that has received an event whose id has {int} digits", async (digits: number) => {
    await getSilenceScenario().sendRequests(1);
    await beginStreams(formatStream("1".repeat(digits)));
});

When("a caller resumes a stream after {string}", async (id: string) => {
    const { harness, callers } = getSilenceScenario();
    const caller = harness.openConnection();
    callers.push(caller);
    await harness.sendRequest(caller, { "resume-after": id });
});

When("its endpoint breaks off inside event {string}", async (id: string) => {
    await sendToOpen(`id: ${id}\ndata: hal`);
    await breakStreams();
});

When("the next endpoint goes on after {string} with the event {string}", async (last: string, id: string) => {
    const headers = getSilenceScenario().listOpenAttempts().map(attempt => attempt.request.headers["resume-after"]);
    deepStrictEqual(headers, [last]);
    await beginStreams(formatStream(id));
});

When("the next endpoint sends an event whose id has {int} digits", async (digits: number) => {
    await beginStreams(formatStream("2".repeat(digits)));
});

When("its endpoint ends the stream", async () => {
    const { harness, listOpenAttempts } = getSilenceScenario();
    listOpenAttempts().forEach(attempt => endResponse(attempt));
    await harness.settle();
});

Then("the caller has received the events {string} and the end of its stream", (ids: string) => {
    const { callers } = getSilenceScenario();
    deepStrictEqual(callers.map(caller => caller.getStream()), [formatStream(ids)]);
    ok(callers[0].hasWholeStream());
});

Then("the caller has received the events {string}, and its connection was closed", (ids: string) => {
    const { callers } = getSilenceScenario();
    deepStrictEqual(callers.map(caller => caller.getStream()), [formatStream(ids)]);
    ok(callers[0].destroyed && !callers[0].hasWholeStream());
});

Then("{int} bytes are held for ids", (bytes: number) => {
    strictEqual(getSilenceScenario().harness.forwarder.countHeldBytes().answers, bytes);
});

Then("the log holds no line of more than {int} characters", (length: number) => {
    const { lines } = getSilenceScenario().harness;
    ok(lines.some(line => line.includes("event=attempt-ended")));
    deepStrictEqual(lines.filter(line => line.length > length), []);
});
