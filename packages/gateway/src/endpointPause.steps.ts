import { Before, Given, Then, When } from "@cucumber/cucumber";
import { ok, strictEqual } from "node:assert";
import { EndpointPause } from "./endpointPause.js";

/** Virtual time between two moments at which something happens in the simulation, in milliseconds. */
const STEP_MS = 1;
const MS_PER_SECOND = 1000;
/** Time of a message between a gateway and an endpoint, in milliseconds. */
const MESSAGE_MS = 1;
/** Requests that arrive within this time of a rejection may have been under way, in milliseconds. */
const OBEYED_AFTER_MS = 500;

interface Send {
    sentAt: number;
    headAt: number | undefined;
}

interface Rejection {
    at: number;
    untilAt: number;
    /** Requests that have arrived from `OBEYED_AFTER_MS` after the rejection to the end of its pause. */
    arrivals: number;
}

let pause: EndpointPause;
let now = 0;
let underWay: Set<Send>;
let sent = 0;
let mostUnderWay = 0;

function tryFor(durationMs: number, intervalMs: number, answerMs: number): void {
    sent = 0;
    mostUnderWay = 0;
    for (const endsAt = now + durationMs; now < endsAt; now += intervalMs) {
        for (const send of underWay) {
            if (now - send.sentAt >= answerMs) {
                underWay.delete(send);
                pause.recordAnswer(send.sentAt);
            }
        }
        if (pause.canSend(underWay, now)) {
            sent++;
            underWay.add({ sentAt: now, headAt: undefined });
        }
        mostUnderWay = Math.max(mostUnderWay, underWay.size);
    }
}

Before({ tags: "@endpoint-pause" }, () => {
    pause = new EndpointPause();
    now = 100;
    underWay = new Set();
});

Given(
    "an endpoint that asks for a pause of {int} ms while {int} requests are under way",
    (pauseMs: number, unanswered: number) => pause.record(pauseMs, unanswered, now),
);

Given("{int} ms later it asks for a pause of {int} ms", (laterMs: number, pauseMs: number) => {
    now += laterMs;
    pause.record(pauseMs, 0, now);
});

Given("{int} ms later it answers {int} requests that were sent before", (laterMs: number, count: number) => {
    now += laterMs;
    Array.from({ length: count }, () => pause.recordAnswer(now - laterMs - 1));
});

When(
    "a request is tried every {int} ms for {int} ms, and the endpoint answers none",
    (intervalMs: number, durationMs: number) => tryFor(durationMs, intervalMs, Number.POSITIVE_INFINITY),
);

When(
    "a request is tried every {int} ms for {int} ms, and the endpoint answers each after {int} ms",
    (intervalMs: number, durationMs: number, answerMs: number) => tryFor(durationMs, intervalMs, answerMs),
);

Then("{int} requests are sent", (count: number) => strictEqual(sent, count));

Then(
    "{int} to {int} requests are sent, and at most {int} are under way at once",
    (min: number, max: number, most: number) => {
        ok(sent >= min && sent <= max, `${sent} were sent`);
        ok(mostUnderWay <= most, `${mostUnderWay} were under way at once`);
    },
);

Then("it is paused for {int} ms", (expected: number) => strictEqual(pause.getRemainingMs(now), expected));

/** Endpoints that run a few requests at once and reject others, and gateways that choose among them. */
class SheddingSimulation {
    run = 0;
    refused = 0;
    offered = 0;
    private readonly endpoints: { running: number; rejections: Rejection[][] }[];
    private readonly gateways: { pause: EndpointPause; underWay: Set<Send> }[][];
    private readonly events = new Map<number, (() => void)[]>();
    private at = 0;

    constructor(
        private readonly options: {
            endpoints: number;
            slots: number;
            serviceMs: number;
            pauseMs: number;
            gateways: number;
            requestsPerSecond: number;
        },
    ) {
        const { endpoints, gateways } = options;
        this.endpoints = Array.from({ length: endpoints }, () => ({
            running: 0,
            rejections: Array.from({ length: gateways }, () => []),
        }));
        this.gateways = Array.from(
            { length: gateways },
            () => Array.from({ length: endpoints }, () => ({ pause: new EndpointPause(), underWay: new Set<Send>() })),
        );
    }

    advance(durationMs: number): void {
        let due = 0;
        for (const endsAt = this.at + durationMs; this.at < endsAt; this.at += STEP_MS) {
            const events = this.events.get(this.at) ?? [];
            this.events.delete(this.at);
            events.forEach(event => event());
            for (due += this.options.requestsPerSecond * STEP_MS / MS_PER_SECOND; due >= 1; due--) {
                this.send(this.offered++ % this.options.gateways);
            }
        }
    }

    /** Largest number of requests from one gateway that arrived at an endpoint during a pause that it had asked for. */
    countMostInPause(): number {
        const rejections = this.endpoints.flatMap(endpoint => endpoint.rejections.flat());
        return rejections.reduce((most, { arrivals }) => Math.max(most, arrivals), 0);
    }

    private schedule(delayMs: number, event: () => void): void {
        const at = this.at + delayMs;
        this.events.set(at, [...this.events.get(at) ?? [], event]);
    }

    private send(gateway: number): void {
        const targets = this.gateways[gateway];
        const open = targets.filter(target => target.pause.canSend(target.underWay, this.at));
        if (open.length === 0) {
            this.refused++;
            return;
        }
        const target = open.reduce((best, item) => item.underWay.size < best.underWay.size ? item : best);
        const send: Send = { sentAt: this.at, headAt: undefined };
        target.underWay.add(send);
        this.schedule(MESSAGE_MS, () => this.arrive(gateway, targets.indexOf(target), send));
    }

    private arrive(gateway: number, to: number, send: Send): void {
        const { slots, serviceMs, pauseMs } = this.options;
        const endpoint = this.endpoints[to];
        const target = this.gateways[gateway][to];
        for (const rejection of endpoint.rejections[gateway]) {
            rejection.arrivals += this.at > rejection.at + OBEYED_AFTER_MS && this.at < rejection.untilAt ? 1 : 0;
        }
        if (endpoint.running >= slots) {
            endpoint.rejections[gateway].push({ at: this.at, untilAt: this.at + pauseMs, arrivals: 0 });
            this.schedule(MESSAGE_MS, () => {
                target.underWay.delete(send);
                target.pause.record(pauseMs, target.underWay.size, this.at);
                this.refused++;
            });
            return;
        }
        endpoint.running++;
        this.run++;
        this.schedule(serviceMs, () => endpoint.running--);
        this.schedule(serviceMs + MESSAGE_MS, () => {
            target.underWay.delete(send);
            target.pause.recordAnswer(send.sentAt);
        });
    }
}

let simulation: SheddingSimulation;
let room = 0;
let endpointCount = 0;
let endpointSlots = 0;
let serviceTimeMs = 0;
let sheddingPauseMs = 0;

Given(
    "{int} endpoints that run {int} requests for {int} ms each and reject others for {int} ms",
    (endpoints: number, slots: number, serviceMs: number, pauseMs: number) => {
        endpointCount = endpoints;
        endpointSlots = slots;
        serviceTimeMs = serviceMs;
        sheddingPauseMs = pauseMs;
    },
);

Given("{int} gateways that get {int} requests a second together", (gateways: number, requestsPerSecond: number) => {
    simulation = new SheddingSimulation({
        endpoints: endpointCount,
        slots: endpointSlots,
        serviceMs: serviceTimeMs,
        pauseMs: sheddingPauseMs,
        gateways,
        requestsPerSecond,
    });
});

When("they are simulated for {int} seconds", (seconds: number) => {
    room = endpointCount * endpointSlots * seconds * MS_PER_SECOND / serviceTimeMs;
    simulation.advance(seconds * MS_PER_SECOND);
});

Then(
    "no gateway sends an endpoint more than {int} requests between 500 ms after a rejection and the end of its pause",
    (most: number) => ok(simulation.countMostInPause() <= most, `${simulation.countMostInPause()} were sent`),
);

Then("the endpoints have run at least {float} of the requests that they had room for", (least: number) => {
    ok(simulation.run >= least * room, `they have run ${simulation.run} requests, with room for ${room}`);
});

Then("each other request was refused at once", () => {
    const underWay = simulation.offered - simulation.run - simulation.refused;
    ok(underWay >= 0 && underWay <= endpointCount * endpointSlots, `${underWay} were neither run nor refused`);
});
