import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { ok, strictEqual, throws } from "node:assert";
import { CallerActivity } from "./callerActivity.js";
import { LateOrderError, type OperatorOrder } from "./operatorOrder.js";

let clock: Clock;
let activity: CallerActivity;
let connection: object;
let order: OperatorOrder;
let revision = 0;
let waitMs = 0;
let isOpen = true;

Before({ tags: "@operator-order" }, () => {
    clock = install({ toFake: ["performance"] });
});

After({ tags: "@operator-order" }, () => clock.uninstall());

function connect(): void {
    connection = {};
    activity.recordOpen(connection);
}

function sendOrder(): void {
    order = activity.buildOrder(connection, () => isOpen);
}

function checkRefused(text: string): void {
    strictEqual(order.getTimeLeftMs(), 0);
    throws(() => order.check(), (error: Error) => error instanceof LateOrderError && error.message.includes(text));
}

Given("a control process with the configuration revision {int}", (value: number) => {
    revision = value;
    waitMs = 0;
    isOpen = true;
    activity = new CallerActivity({ measureWaitMs: () => waitMs, getRevision: () => revision });
});

When("the process stands still for {int} ms", (ms: number) => {
    waitMs = ms;
});

When("the process has settled", () => {
    waitMs = 0;
});

When("a caller connects", connect);

When("a caller connects and sends an order", () => {
    connect();
    sendOrder();
});

When("{int} ms later, at revision {int}, it sends an order", (ms: number, value: number) => {
    clock.tick(ms);
    revision = value;
    sendOrder();
});

When("it has a response", () => activity.recordResponse(connection));

When("it closes the connection", () => {
    isOpen = false;
});

Then("the order follows revision {int}", (value: number) => strictEqual(order.since, value));

Then("after {int} ms it may be sent, and its caller surely waits", (ms: number) => {
    clock.tick(ms);
    order.check();
    ok(order.getTimeLeftMs() > 0 && order.isAwaited());
});

Then("it may be sent", () => order.check());

Then("it may be sent, but its caller may have moved on", () => {
    order.check();
    ok(!order.isAwaited());
});

Then("after {int} ms more it is refused with {string}", (ms: number, text: string) => {
    clock.tick(ms);
    checkRefused(text);
});

Then("it is refused with {string}", checkRefused);
