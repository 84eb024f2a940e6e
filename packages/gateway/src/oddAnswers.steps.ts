import { Then } from "@cucumber/cucumber";
import { RequestKind } from "@kumquathall/types";
import { type FakeMethod, install } from "@sinonjs/fake-timers";
import fc from "fast-check";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { EventStreamParser } from "./eventStreamParser.js";
import { ForwardingHarness } from "./testing/forwardingHarness.js";
import type { ScriptedAttempt } from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
const SEED = 39;
const ENDPOINTS = 3;
const TIMEOUT_MS = 2000;
const ID = "r-drawn";
/** Statuses that promise that a request has not run. */
const PROMISES = [408, 421, 429, 503];

/** What an endpoint sends to one attempt. */
interface Answer {
    status: number;
    id: "same" | "other" | "none";
    isNotRun: boolean;
    isSigned: boolean;
    chunks: string[];
    hasEnd: boolean;
}

const answerArbitrary: fc.Arbitrary<Answer> = fc.record({
    status: fc.constantFrom(200, 200, 204, 404, 408, 421, 429, 500, 502, 503, 0, 99, 600, 999),
    id: fc.constantFrom("same" as const, "same" as const, "other" as const, "none" as const),
    isNotRun: fc.boolean(),
    isSigned: fc.boolean(),
    chunks: fc.array(fc.string({ maxLength: 3 }), { maxLength: 4 }),
    hasEnd: fc.constantFrom(true, true, false),
});

function isStatus(status: number): boolean {
    return status >= 200 && status <= 599;
}

function isValid({ status, id, isNotRun, isSigned }: Answer): boolean {
    return isStatus(status) && id === "same" && (status >= 300 || isSigned || isNotRun);
}

/** Whether an attempt with this answer has provably not run. */
function isRejected(answer: Answer): boolean {
    return isValid(answer) && answer.hasEnd && (answer.isNotRun || answer.status === 421);
}

function sendDrawn({ handler }: ScriptedAttempt, answer: Answer, isAborted: () => boolean): void {
    const ids = { same: { "request-id": ID }, other: { "request-id": "other" }, none: {} };
    handler.onHead(answer.status, {
        ...ids[answer.id],
        ...(answer.isNotRun ? { "not-run": "1" } : {}),
        ...(answer.isSigned ? { signed: "1" } : {}),
    });
    for (const chunk of isAborted() ? [] : answer.chunks) {
        handler.onData(Buffer.from(chunk));
    }
    if (!isAborted()) {
        const end = answer.hasEnd ? () => handler.onEnd() : () => handler.onFailure(new Error("reset"), true);
        end();
    }
}

/** What became of one request. */
interface Play {
    /** The answers that endpoints have given. */
    used: Answer[];
    /** Whether an endpoint has the request and has sent nothing. */
    isOpen: boolean;
    /** What the caller has received. */
    received: string;
}

/** Plays drawn answers to one request. */
async function playAnswers(script: Answer[], isRepeatable: boolean): Promise<Play> {
    const clock = install({ toFake: FAKED });
    const kind = isRepeatable ? RequestKind.Idempotent : RequestKind.NonIdempotent;
    const route = { kind, isResumable: false, timeoutMs: TIMEOUT_MS, maxEndpoints: ENDPOINTS };
    const harness = new ForwardingHarness({ clock, endpoints: ENDPOINTS, retrySlack: 1000, route });
    try {
        const caller = harness.openConnection();
        await harness.sendRequest(caller, { "request-id": ID });
        const used: Answer[] = [];
        for (const answer of script) {
            const [attempt] = harness.endpoints.flatMap(endpoint => endpoint.listOpenAttempts());
            if (attempt === undefined) {
                break;
            }
            used.push(answer);
            sendDrawn(attempt, answer, () => attempt.isAborted);
            attempt.hasEnded = true;
            await harness.settle();
        }
        const isOpen = harness.endpoints.some(endpoint => endpoint.listOpenAttempts().length > 0);
        await harness.advance(TIMEOUT_MS);
        strictEqual(harness.forwarder.countActive(), 0);
        deepStrictEqual(harness.forwarder.countHeldBytes(), { bodies: 0, answers: 0, unread: 0 });
        strictEqual(harness.lines.some(line => line.includes("event=request-failed")), false, harness.lines.join(""));
        return { used, isOpen, received: caller.received };
    }
    finally {
        harness.close();
        clock.uninstall();
    }
}

function checkEnd({ used, isOpen, received }: Play, isRepeatable: boolean): void {
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(received)?.[1]);
    const body = received.slice(received.indexOf("\r\n\r\n") + 4);
    ok(isStatus(status), `there is no answer: ${received}`);
    const mayHaveRun = isOpen || used.some(answer => !isRejected(answer));
    if (status < 300) {
        const source = used.at(-1);
        ok(source !== undefined && isValid(source) && source.isSigned && source.hasEnd && source.status === status);
        strictEqual(body, status === 204 ? "" : source.chunks.join(""));
    }
    if (!isRepeatable) {
        ok(used.slice(0, -1).every(isRejected), "the request was sent again after it may have run");
        ok(!PROMISES.includes(status) || !mayHaveRun, "an untrue promise");
    }
}

async function checkScripts(count: number, isRepeatable: boolean): Promise<void> {
    await fc.assert(
        fc.asyncProperty(fc.array(answerArbitrary, { minLength: 1, maxLength: 4 }), async script => {
            checkEnd(await playAnswers(script, isRepeatable), isRepeatable);
        }),
        { seed: SEED, numRuns: count },
    );
}

Then(
    "for {int} drawn scripts of answers to a request that may be repeated, each caller gets a true end",
    { timeout: 120_000 },
    (count: number) => checkScripts(count, true),
);

Then(
    "for {int} drawn scripts of answers to a request that may run once, each caller gets a true end",
    { timeout: 120_000 },
    (count: number) => checkScripts(count, false),
);

Then(
    "for {int} drawn streams the events and what is left are the stream's bytes, whatever the size of its chunks",
    (count: number) => {
        const piece = fc.constantFrom(
            "\n",
            "\r",
            "\n\n",
            "\r\n\r\n",
            "id: 7",
            "id: 99999999999999999999",
            "data: x",
            ":",
            "\u0000",
            "é",
        );
        fc.assert(
            fc.property(
                fc.array(piece, { maxLength: 40 }),
                fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
                (pieces, sizes) => {
                    const stream = Buffer.from(pieces.join(""));
                    const whole = new EventStreamParser();
                    const expected = whole.push(stream);
                    const split = new EventStreamParser();
                    const events = [];
                    for (let at = 0, turn = 0; at < stream.length; turn++) {
                        const size = sizes[turn % sizes.length];
                        events.push(...split.push(stream.subarray(at, at + size)));
                        at += size;
                    }
                    deepStrictEqual(
                        events.map(({ id, bytes }) => [id, bytes.toString()]),
                        expected.map(({ id, bytes }) => [id, bytes.toString()]),
                    );
                    const rest = split.getIncompleteBytes();
                    strictEqual(Buffer.compare(Buffer.concat([...events.map(event => event.bytes), rest]), stream), 0);
                },
            ),
            { seed: SEED, numRuns: count },
        );
    },
);
