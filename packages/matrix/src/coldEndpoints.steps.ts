import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok } from "node:assert";
import { COLD_STEP_MS, ColdSimulation, type ColdSimulationOptions } from "./coldSimulation.js";
import { countMost } from "./countMost.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const TIMEOUT = { timeout: 300_000 };
const SEEDS = 2;
const MS_PER_SECOND = 1000;
const DURATION_MS = 3000;
/** Time before the first endpoint becomes cold, in milliseconds. */
const BEGIN_MS = 2000;
/** Time from one cold time to the next; no multiple of the interval of heartbeats, so that the moment differs. */
const INTERVAL_MS = 5350;
const DETECT_CUT_MS = 2500;
const FACTOR = 1.5;
const SLACK = 5;

let clock: Clock;
let options: Omit<ColdSimulationOptions, "seed">;
let simulations: ColdSimulation[] = [];
let colds = 0;

function getSimulations(): ColdSimulation[] {
    if (simulations.length === 0) {
        simulations = Array.from({ length: SEEDS }, (_, at) => new ColdSimulation({ ...options, seed: at + 1 }));
    }
    return simulations;
}

async function pass(ms: number): Promise<void> {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
        getSimulations().forEach(simulation => simulation.sendRequests());
        await clock.tickAsync(COLD_STEP_MS);
    }
}

function startCold(at: number): void {
    colds++;
    getSimulations().forEach(simulation => simulation.startCold(at));
}

/** Largest number of requests that an endpoint has received in a second while it was cold. */
function countWorst(): number {
    const counts = getSimulations().flatMap(({ endpoints }) =>
        endpoints.map(({ coldArrivals }) => countMost(coldArrivals, MS_PER_SECOND))
    );
    return Math.max(...counts);
}

Before({ tags: "@cold-simulation" }, () => {
    clock = install({ toFake: FAKED_TIMERS });
    simulations = [];
    colds = 0;
});

After({ tags: "@cold-simulation" }, () => {
    simulations.forEach(simulation => simulation.close());
    clock.uninstall();
});

Given(
    "{int} endpoints with a cold rate of {float} a second, {int} gateways and {int} requests a second",
    (endpoints: number, perSecond: number, gateways: number, requestsPerSecond: number) => {
        const durationMs = DURATION_MS;
        options = {
            endpoints,
            perSecond,
            gateways,
            requestsPerSecond,
            durationMs,
            isInResponses: false,
            isDeclared: true,
        };
    },
);

Given(/^responses that (say|don't say) that their endpoint is cold$/, (says: string) => {
    options.isInResponses = says === "say";
});

Given("a service that does not declare a cold time", () => {
    options.isDeclared = false;
});

When(
    "endpoint {int} becomes cold at {int} times, each at another moment of its heartbeats",
    TIMEOUT,
    async (at: number, times: number) => {
        await pass(BEGIN_MS);
        for (let count = 0; count < times; count++) {
            startCold(at);
            await pass(INTERVAL_MS);
        }
    },
);

When(
    "endpoint {int} becomes cold {int} times, and the leader is replaced each time after {int} ms, after {int} ms without one",
    TIMEOUT,
    async (at: number, times: number, afterMs: number, withoutMs: number) => {
        await pass(BEGIN_MS);
        for (let count = 0; count < times; count++) {
            startCold(at);
            await pass(afterMs);
            getSimulations().forEach(simulation => simulation.removeLeader());
            await pass(withoutMs);
            getSimulations().forEach(simulation => simulation.startLeader());
            await pass(INTERVAL_MS - afterMs - withoutMs);
        }
    },
);

When("the first {int} gateways are cut off from control", TIMEOUT, async (cut: number) => {
    await pass(BEGIN_MS);
    getSimulations().forEach(simulation => {
        for (let at = 0; at < cut; at++) {
            simulation.startCut(at);
        }
    });
    await pass(DETECT_CUT_MS);
});

When("the gateways are cut off no longer", () => {
    getSimulations().forEach(simulation => simulation.endCuts());
});

When(
    "no requests are sent, endpoint {int} becomes cold, and its data centre returns at once",
    TIMEOUT,
    async (at: number) => {
        getSimulations();
        await clock.tickAsync(BEGIN_MS);
        startCold(at);
        getSimulations().forEach(simulation => simulation.recordReturn());
        await pass(DURATION_MS);
    },
);

Then("in no second an endpoint has received more than 1.5 times its cold rate and 5 requests while it was cold", () => {
    const allowed = FACTOR * options.perSecond + SLACK;
    const above = [countWorst()].filter(count => count > allowed);
    deepStrictEqual(above, [], `${allowed} are allowed`);
});

Then(
    "in some second endpoint 0 has received more than 1.5 times its cold rate and 5 requests while it was cold",
    () => {
        const allowed = FACTOR * options.perSecond + SLACK;
        ok(countWorst() > allowed, `at most ${countWorst()} in a second`);
    },
);

Then("cold endpoints have received at least {int} requests a second", (least: number) => {
    const seconds = colds * DURATION_MS / MS_PER_SECOND;
    for (const { endpoints } of getSimulations()) {
        const perSecond = endpoints[0].coldArrivals.length / seconds;
        ok(perSecond >= least, `${perSecond.toFixed(1)} a second`);
    }
});
