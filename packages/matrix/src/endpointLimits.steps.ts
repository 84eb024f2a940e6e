import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok } from "node:assert";
import { countMost } from "./countMost.js";
import { type LimitArrival, LimitSimulation, STEP_MS } from "./limitSimulation.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const TIMEOUT = { timeout: 300_000 };
const MS_PER_SECOND = 1000;
const SEEDS = 3;
const WINDOW_MS = 4000;
const CONTACT_MS = 3000;
const SLACK_FACTOR = 1.5;
const SLACK_REQUESTS = 5;
const AFTER_END_FACTOR = 4;
const MEMBERS = 3;

let clock: Clock;
let simulations: LimitSimulation[] = [];
let limit = 0;
let gateways = 0;
let limitFromMs = 0;
let limitToMs = 0;

/** Lists what each endpoint of each seed has got, with its name. */
function listArrivals(): { name: string; arrivals: LimitArrival[] }[] {
    return simulations.flatMap((simulation, seed) =>
        simulation.arrivals.map((arrivals, at) => ({ name: `seed ${seed + 1}, endpoint ${at}`, arrivals }))
    );
}

async function pass(ms: number, hasRequests = true): Promise<void> {
    const endsAt = performance.now() + ms;
    while (performance.now() < endsAt) {
        if (hasRequests) {
            simulations.forEach(simulation => simulation.sendRequests());
        }
        await clock.tickAsync(STEP_MS);
    }
}

Before({ tags: "@limit-simulation" }, () => {
    clock = install({ toFake: FAKED_TIMERS });
});

After({ tags: "@limit-simulation" }, () => {
    simulations.forEach(simulation => simulation.close());
    clock.uninstall();
});

Given("endpoints that name their limit from second {int} to second {int}", (from: number, to: number) => {
    limitFromMs = from * MS_PER_SECOND;
    limitToMs = to * MS_PER_SECOND;
});

Given(
    "{int} endpoints with a limit of {float} and {int} gateways that get {int} requests a second",
    (endpoints: number, perSecond: number, count: number, requestsPerSecond: number) => {
        limit = perSecond;
        gateways = count;
        simulations = Array.from({ length: SEEDS }, (_, at) =>
            new LimitSimulation({
                seed: at + 1,
                members: MEMBERS,
                gateways,
                endpoints,
                requestsPerSecond,
                limit,
                limitFromMs,
                limitToMs,
            }));
    },
);

When("{int} seconds pass", TIMEOUT, (seconds: number) => pass(seconds * MS_PER_SECOND));

When("{int} seconds without requests pass", TIMEOUT, (seconds: number) => pass(seconds * MS_PER_SECOND, false));

When("the leader is replaced after {int} ms without one", TIMEOUT, async (ms: number) => {
    simulations.forEach(simulation => simulation.removeLeader());
    await pass(ms);
    simulations.forEach(simulation => simulation.startLeader());
});

When("gateway {int} restarts", (gateway: number) => {
    simulations.forEach(simulation => simulation.restartGateway(gateway));
});

When("gateway {int} is cut off from control for {int} ms", TIMEOUT, async (gateway: number, ms: number) => {
    simulations.forEach(simulation => simulation.setCut(gateway, true));
    await pass(ms);
    simulations.forEach(simulation => simulation.setCut(gateway, false));
});

When("control can't be reached for {int} ms", TIMEOUT, async (ms: number) => {
    simulations.forEach(simulation => simulation.setControlCut(true));
    await pass(ms);
    simulations.forEach(simulation => simulation.setControlCut(false));
});

Then("for no endpoint a window of 4 s has more than 1.5 times the limit and 5 requests", () => {
    const allowed = SLACK_FACTOR * limit * WINDOW_MS / MS_PER_SECOND + SLACK_REQUESTS;
    const above = listArrivals().flatMap(({ name, arrivals }) => {
        const counted = arrivals.filter(item =>
            item.isInContact && item.at >= limitFromMs + CONTACT_MS && item.at < limitToMs
        );
        const most = countMost(counted.map(item => item.at), WINDOW_MS);
        return most > allowed ? [`${name}: ${most} in 4 s, ${allowed} are allowed`] : [];
    });
    deepStrictEqual(above, []);
});

Then("the endpoints get at least {int} requests while they are limited", (least: number) => {
    for (const [seed, { arrivals }] of simulations.entries()) {
        const count = arrivals.flat().filter(item => item.at >= limitFromMs && item.at < limitToMs).length;
        ok(count >= least, `seed ${seed + 1}: ${count} requests`);
    }
});

Then("within 1 s of its end each endpoint gets no more than 4 times the limit and 5 requests", () => {
    const allowed = AFTER_END_FACTOR * limit + SLACK_REQUESTS;
    const above = listArrivals().flatMap(({ name, arrivals }) => {
        const count = arrivals.filter(item => item.at >= limitToMs && item.at < limitToMs + MS_PER_SECOND).length;
        return count > allowed ? [`${name}: ${count}, ${allowed} are allowed`] : [];
    });
    deepStrictEqual(above, []);
});

Then("no gateway takes an endpoint for limited", () => {
    const counts = simulations.map(simulation =>
        Array.from({ length: gateways }, (_, at) => simulation.countLimited(at)).reduce((sum, count) => sum + count, 0)
    );
    deepStrictEqual(counts, counts.map(() => 0));
});
