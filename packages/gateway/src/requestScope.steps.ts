import { After, Given, Then, When } from "@cucumber/cucumber";
import { RequestKind } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { ForwardedRequest } from "./forwardedRequest.js";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness } from "./testing/forwardingHarness.js";
import { PlainHeaderCodec } from "./testing/plainHeaderCodec.js";
import {
    buildLossReport,
    formatEvent,
    type ScriptedAttempt,
    sendAnswer,
    sendEvents,
} from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
/** Methods that only streams reach, and those at which the test injects the fault later. */
const STREAM_POINTS = ["writeHeadOnce", "recordFirstContent", "waitForRetry"];
const LATE_POINTS = ["recordFirstContent", "waitForRetry"];
const FAULTY_ID = "faulty";
const FAULT = "an injected fault";
const TIMEOUT_MS = 4000;
/** Longer than an endpoint may be silent before a retry is considered, and shorter than the timeout. */
const STALL_MS = 3500;
/** Longer than the interval at which a stream looks for a retry. */
const RETRY_WAIT_MS = 300;

type Method = (this: unknown, ...values: unknown[]) => unknown;

let clock: Clock | undefined;
let harness: ForwardingHarness;
let first: CallerSocket;
let second: CallerSocket;
let restore: () => void = () => undefined;
let isArmed = false;

/** Makes a method throw once for the faulty request. */
function injectFault(point: string): void {
    const prototype = (point === "decodeRequest" ? PlainHeaderCodec : ForwardedRequest).prototype as unknown as Record<
        string,
        Method
    >;
    const original = prototype[point];
    ok(original, `there is no ${point}`);
    prototype[point] = function(...values) {
        const id = values[0] instanceof Map
            ? String(values[0].get("request-id"))
            : (this as { options?: { head: { requestId: string } } }).options?.head.requestId;
        if (isArmed && id === FAULTY_ID) {
            isArmed = false;
            throw new Error(FAULT);
        }
        return original.apply(this, values);
    };
    restore = () => {
        prototype[point] = original;
    };
}

After({ tags: "@request-scope" }, () => {
    restore();
    harness.close();
    clock?.uninstall();
    clock = undefined;
});

Given(
    "a gateway with two endpoints, each with a request, of which the first fails at {word}",
    async (point: string) => {
        clock = install({ toFake: FAKED });
        const isStream = STREAM_POINTS.includes(point);
        const route = {
            kind: isStream ? RequestKind.Streaming : RequestKind.Idempotent,
            isResumable: point === "waitForRetry",
            timeoutMs: TIMEOUT_MS,
        };
        harness = new ForwardingHarness({ clock, endpoints: 2, route, retrySlack: point === "waitForRetry" ? 1 : 0 });
        injectFault(point);
        isArmed = !LATE_POINTS.includes(point);
        first = harness.openConnection();
        second = harness.openConnection();
        await harness.sendRequest(first, { "request-id": FAULTY_ID });
        await harness.sendRequest(second, { "request-id": "sound" });
    },
);

function getAttempts(id: string): ScriptedAttempt[] {
    const found = harness.endpoints.flatMap(endpoint => endpoint.attempts).filter(attempt =>
        attempt.request.headers["request-id"] === id
    );
    if (found.length === 0) {
        throw new Error(`no endpoint has the request ${id}`);
    }
    // The first attempt of a stream is the one that begins it.
    return found.sort((left, right) => countResumed(left) - countResumed(right));
}

function countResumed({ request }: ScriptedAttempt): number {
    return request.headers["resume-after"] === undefined ? 0 : 1;
}

function getAttempt(id: string): ScriptedAttempt {
    return getAttempts(id)[0];
}

/** Answers with an event, which is a whole stream or a whole body. */
function answerSoundRequest(): void {
    sendAnswer(getAttempt("sound"), 200, formatEvent(1));
}

const EVENTS: Record<string, () => void | Promise<void>> = {
    "nothing": () => undefined,
    "its answer": () => sendAnswer(getAttempt(FAULTY_ID), 200, "answer"),
    "the failure of its attempt": () => getAttempt(FAULTY_ID).handler.onFailure(new Error("reset"), true),
    "the loss of its endpoint": () => {
        const lost = harness.endpoints.filter(endpoint =>
            endpoint.attempts.some(attempt => attempt.request.headers["request-id"] === FAULTY_ID)
        );
        lost.forEach(endpoint => harness.tracker.record([buildLossReport(endpoint.id)], performance.now()));
    },
    "its deadline": async () => {
        answerSoundRequest();
        await harness.advance(TIMEOUT_MS);
    },
    "a stall of its endpoint": async () => {
        answerSoundRequest();
        await harness.advance(STALL_MS);
    },
    "the end of its connection": () => {
        first.destroy();
    },
    "the first event of a stream": () => sendEvents(getAttempt(FAULTY_ID), 1),
    "the second event of a stream": () => {
        sendEvents(getAttempt(FAULTY_ID), 1);
        isArmed = true;
        sendEvents(getAttempt(FAULTY_ID), 2);
    },
    "the wait of a stream": async () => {
        answerSoundRequest();
        const [begun] = getAttempts(FAULTY_ID);
        sendEvents(begun, 1);
        begun.handler.onFailure(new Error("reset"), true);
        const [, next] = getAttempts(FAULTY_ID);
        sendAnswer(next, 503, "", { "not-run": "1" });
        isArmed = true;
        await harness.advance(RETRY_WAIT_MS);
    },
    "the end of the process": async () => {
        answerSoundRequest();
        await harness.settle();
        harness.forwarder.endAll();
    },
};

When(/^(.*) happens to the first request$/, async (event: string) => {
    await EVENTS[event]();
    await harness.settle();
});

Then(
    /^the first request ends with (.*), and one exception is logged and counted$/,
    async (outcome: string) => {
        if (outcome === "status 500") {
            ok(first.received.startsWith("HTTP/1.1 500"), first.received);
            ok(first.received.includes("internal"), first.received);
        }
        else {
            ok(first.destroyed && !first.hasWholeStream(), first.received);
        }
        strictEqual(
            harness.lines.filter(line => line.includes("event=request-failed") && line.includes(FAULT)).length,
            1,
        );
        strictEqual(await harness.readCounter("kumquathall_gateway_request_faults_total"), 1);
    },
);

Then("the second request is answered by its endpoint", async () => {
    if (!getAttempt("sound").hasEnded) {
        answerSoundRequest();
    }
    await harness.settle();
    ok(second.received.startsWith("HTTP/1.1 200"), second.received);
});

Then("no request is left in the gateway, and no memory is held", () => {
    strictEqual(harness.forwarder.countActive(), 0);
    deepStrictEqual(harness.forwarder.countHeldBytes(), { bodies: 0, answers: 0, unread: 0 });
});
