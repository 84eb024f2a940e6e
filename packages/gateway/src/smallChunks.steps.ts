import { Given, Then, When } from "@cucumber/cucumber";
import { ByteBudget } from "@kumquathall/byte-collector";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { EventEmitter } from "node:events";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { EventStreamParser } from "./eventStreamParser.js";
import { EventWriter } from "./eventWriter.js";
import { HeldAnswer } from "./heldAnswer.js";
import { readBody } from "./readBody.js";
import { RequestScope, type RequestScopeOptions } from "./requestScope.js";
import { UnreadAnswers } from "./unreadAnswers.js";

const MAX_BYTES = 64_000_000;
const PIECE = Buffer.from("x");
/** The shortest event, which is empty. */
const EVENT = Buffer.from("\n\n");

let held: unknown;
let heldBytes = 0;
const MS_PER_SECOND = 1000;
let unread: UnreadAnswers;
let callers: ServerResponse[] = [];

function collectGarbage(): void {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
}

function measureMemory(): number {
    collectGarbage();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}

/** A response whose caller reads nothing. */
function createUnreadResponse(): ServerResponse {
    return new ServerResponse(new IncomingMessage(new Socket()));
}

/** A scope in which nothing fails. */
function createScope(): RequestScope {
    return new RequestScope({} as RequestScopeOptions);
}

const holders: Record<string, () => { add: () => void }> = {
    "a response": () => {
        const answer = new HeldAnswer(new ByteBudget(MAX_BYTES));
        return { add: () => ok(answer.add(Buffer.from(PIECE))) };
    },
    "a request body": () => {
        const request = new EventEmitter() as IncomingMessage;
        const scope = createScope();
        const limits = { maxBytes: MAX_BYTES, budget: new ByteBudget(MAX_BYTES), timeoutMs: 1, scope };
        readBody(request, limits, () => undefined);
        return { add: () => request.emit("data", Buffer.from(PIECE)), request } as { add: () => void };
    },
    "an incomplete event": () => {
        const parser = new EventStreamParser();
        return { add: () => parser.push(Buffer.from(PIECE)) };
    },
    "events that a caller must read": () => {
        const response = createUnreadResponse();
        const writer = new EventWriter(response, new ByteBudget(MAX_BYTES), createScope());
        return { add: () => ok(writer.write(Buffer.from(EVENT))) };
    },
};

When(/^(\d+) pieces of (.*) are held$/, (pieces: string, what: string) => {
    // What a failed scenario has held must not count as freed memory of this one.
    held = undefined;
    const before = measureMemory();
    const holder = holders[what]();
    held = holder;
    for (let at = 0; at < Number(pieces); at++) {
        holder.add();
    }
    heldBytes = measureMemory() - before;
});

Then("they hold less than {int} bytes of memory", (most: number) => {
    ok(held !== undefined && heldBytes < most, `${heldBytes} bytes are held`);
    held = undefined;
});

Given(
    "answers of {int}, {int} and {int} bytes that callers have not read, of which {int} bytes may be held",
    (first: number, second: number, third: number, most: number) => {
        unread = new UnreadAnswers({ onClose: () => undefined, maxBytes: most });
        callers = [first, second, third].map(bytes => {
            const response = createUnreadResponse();
            unread.add(response, bytes);
            return response;
        });
    },
);

When("an answer of {int} bytes is sent to another caller", (bytes: number) => {
    const response = createUnreadResponse();
    callers.push(response);
    unread.add(response, bytes);
});

Then(
    "the connections of the callers {int} and {int} are closed, and {int} bytes are held",
    (first: number, second: number, bytes: number) => {
        const closed = callers.flatMap((response, at) => response.destroyed ? [at + 1] : []);
        deepStrictEqual(closed, [first, second]);
        strictEqual(unread.getHeld(), bytes);
    },
);

When("caller {int} has read its answer", (caller: number) => callers[caller - 1].emit("close"));

Given(
    "answers of {int} and {int} bytes that callers have not read, and no further request from {int} bytes on",
    (first: number, second: number, full: number) => {
        unread = new UnreadAnswers({ onClose: () => undefined, fullBytes: full });
        callers = [first, second].map(bytes => {
            const response = createUnreadResponse();
            unread.add(response, bytes);
            return response;
        });
    },
);

Then(
    "after {int} s no further request is accepted, and {int} answers are still delivered",
    (seconds: number, count: number) => {
        strictEqual(unread.isFull(performance.now() + seconds * MS_PER_SECOND), true);
        strictEqual(callers.filter(response => !response.destroyed).length, count);
    },
);

Then("after {int} s further requests are accepted, and {int} answer is still delivered", (
    seconds: number,
    count: number,
) => {
    strictEqual(unread.isFull(performance.now() + seconds * MS_PER_SECOND), false);
    strictEqual(callers.filter(response => !response.destroyed).length, count);
});

Then("{int} bytes are held", (bytes: number) => strictEqual(unread.getHeld(), bytes));
