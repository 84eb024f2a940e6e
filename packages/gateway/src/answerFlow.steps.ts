import { After, Given, Then, When } from "@cucumber/cucumber";
import { RequestKind } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness } from "./testing/forwardingHarness.js";
import { buildEcho, endResponse, type ScriptedAttempt } from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
const BYTES_PER_MB = 1_000_000;
/** Bytes that an endpoint sends at a time; 1 MB is a multiple. */
const CHUNK_BYTES = 50_000;
const TIMEOUT = { timeout: 60_000 };

let clock: Clock;
let harness: ForwardingHarness;
let callers: CallerSocket[] = [];
/** Bytes that each endpoint has sent. */
let sent = new Map<ScriptedAttempt, number>();
let answerBytes = 0;
let mostHeld = 0;

After({ tags: "@answer-flow" }, () => {
    harness.close();
    clock.uninstall();
});

Given("a gateway with {int} requests of callers that read nothing", TIMEOUT, async (count: number) => {
    clock = install({ toFake: FAKED });
    const route = { kind: RequestKind.Idempotent, isResumable: false, timeoutMs: 60_000, objectiveMs: 100 };
    harness = new ForwardingHarness({ clock, endpoints: 2, route, retrySlack: 100 });
    callers = [];
    sent = new Map();
    mostHeld = 0;
    for (let at = 0; at < count; at++) {
        const caller = harness.openConnection();
        caller.stopReading();
        callers.push(caller);
        await harness.sendRequest(caller);
    }
});

function listAttempts(): ScriptedAttempt[] {
    return harness.endpoints.flatMap(endpoint => endpoint.listOpenAttempts());
}

/** Sends up to `bytes` more of an answer while the gateway reads it. */
function sendMore(attempt: ScriptedAttempt, bytes: number): void {
    const before = sent.get(attempt) ?? 0;
    let at = before;
    if (at === 0) {
        attempt.handler.onHead(200, { signed: "1", ...buildEcho(attempt), "content-length": String(answerBytes) });
    }
    while (!attempt.isPaused && !attempt.isAborted && at < Math.min(answerBytes, before + bytes)) {
        at += CHUNK_BYTES;
        attempt.handler.onData(Buffer.alloc(CHUNK_BYTES, "x"));
        const { answers, unread } = harness.forwarder.countHeldBytes();
        mostHeld = Math.max(mostHeld, answers + unread);
    }
    sent.set(attempt, at);
    if (at === answerBytes && !attempt.isPaused && !attempt.isAborted) {
        endResponse(attempt);
    }
}

/** Lets the endpoints send, in turns, until nothing more is read. */
async function sendAll(turnBytes: number): Promise<void> {
    for (let before = -1; before !== countProgress();) {
        before = countProgress();
        listAttempts().forEach(attempt => sendMore(attempt, turnBytes));
        await harness.settle();
    }
}

function countProgress(): number {
    return [...sent.values()].reduce((sum, bytes) => sum + bytes, 0) + listAttempts().length / (callers.length + 1);
}

When(
    /^their endpoints send answers of (\d+) MB each(?: in turns of (\d+) MB)?, as far as the gateway reads them$/,
    TIMEOUT,
    async (megabytes: number, turn: number | null) => {
        answerBytes = megabytes * BYTES_PER_MB;
        await sendAll((turn ?? megabytes) * BYTES_PER_MB);
    },
);

Then("at most {int} MB are held, and no answer was cut", async (megabytes: number) => {
    ok(mostHeld <= megabytes * 1024 * 1024, `${mostHeld} bytes were held`);
    strictEqual(await harness.readCounter("kumquathall_gateway_unread_answers_cut_total"), 0);
});

async function readAll(readers: CallerSocket[]): Promise<void> {
    for (const caller of readers) {
        caller.startReading();
        await harness.settle();
        await sendAll(answerBytes);
    }
}

When("the callers read one after the other", TIMEOUT, () => readAll(callers));

When("half of the callers leave, and the others read", TIMEOUT, async () => {
    const leaving = callers.filter((_, at) => at % 2 === 0);
    leaving.forEach(caller => caller.destroy());
    callers = callers.filter(caller => !leaving.includes(caller));
    await harness.settle();
    await readAll(callers);
});

When("the callers read nothing for {int} ms", TIMEOUT, (ms: number) => harness.advance(ms));

Then("each request was sent once", () => {
    const attempts = harness.endpoints.flatMap(endpoint => endpoint.attempts);
    strictEqual(attempts.length, callers.length);
    ok(attempts.every(attempt => !attempt.isAborted));
});

Then(/^each caller(?: that is left)? has its whole answer, and no memory is held$/, TIMEOUT, async () => {
    await harness.settle();
    const lengths = callers.map(caller => /x*$/.exec(caller.received)?.[0].length);
    deepStrictEqual(lengths, callers.map(() => answerBytes));
    deepStrictEqual(harness.forwarder.countHeldBytes(), { bodies: 0, answers: 0, unread: 0 });
});
