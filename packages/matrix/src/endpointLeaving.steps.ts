import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual } from "node:assert";
import { LeavingSimulation, type SimulatedArrival, STEP_MS } from "./leavingSimulation.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const TIMEOUT = { timeout: 300_000 };
const MS_PER_SECOND = 1000;
const SEEDS = 3;
const MEMBERS = 3;
/** Gateway that scenarios cut off. */
const CUT_GATEWAY = 0;

let clock: Clock;
let simulations: LeavingSimulation[] = [];
let leavingCount = 0;
let leavingFromMs = 0;

/** Lists what leaving endpoints got later than `ms` after the first notice among the arrivals that count. */
function listLate(ms: number, isCounted: (arrival: SimulatedArrival) => boolean): string[] {
    return simulations.flatMap((simulation, seed) =>
        Array.from({ length: leavingCount }, (_, endpoint) => {
            const arrivals = simulation.arrivals.filter(item =>
                item.endpoint === endpoint && item.at >= leavingFromMs && isCounted(item)
            );
            return arrivals.filter(item => item.at > arrivals[0].at + ms).map(item =>
                `seed ${seed + 1}, endpoint ${endpoint}, gateway ${item.gateway}: ${Math.round(item.at)} ms`
            );
        }).flat()
    );
}

Before({ tags: "@leaving-simulation" }, () => {
    clock = install({ toFake: FAKED_TIMERS });
});

After({ tags: "@leaving-simulation" }, () => {
    simulations.forEach(simulation => simulation.close());
    clock.uninstall();
});

Given(
    "{int} endpoints, of which {int} leave from second {int} on, and {int} gateways that get {int} requests a second",
    (endpoints: number, leaving: number, from: number, gateways: number, requestsPerSecond: number) => {
        leavingCount = leaving;
        leavingFromMs = from * MS_PER_SECOND;
        simulations = Array.from({ length: SEEDS }, (_, at) =>
            new LeavingSimulation({
                seed: at + 1,
                members: MEMBERS,
                gateways,
                endpoints,
                leaving,
                requestsPerSecond,
                leavingFromMs,
            }));
    },
);

When("{int} seconds of requests pass", TIMEOUT, async (seconds: number) => {
    for (const endsAt = performance.now() + seconds * MS_PER_SECOND; performance.now() < endsAt;) {
        simulations.forEach(simulation => simulation.sendRequests());
        await clock.tickAsync(STEP_MS);
    }
});

When("gateway {int} is cut off from all members", (gateway: number) => {
    simulations.forEach(simulation => simulation.setCut(gateway, true));
});

When("the cut of gateway {int} ends", (gateway: number) => {
    simulations.forEach(simulation => simulation.setCut(gateway, false));
});

When("all members restart", () => simulations.forEach(simulation => simulation.restartMembers()));

When("gateway {int} restarts and forgets all it knew", (gateway: number) => {
    simulations.forEach(simulation => simulation.restartGateway(gateway));
});

Then(
    "no leaving endpoint gets a request later than {int} ms after its first such response",
    (ms: number) => deepStrictEqual(listLate(ms, () => true), []),
);

Then(
    "no leaving endpoint gets a request later than {int} ms after its first such response from a gateway that was not cut",
    (ms: number) => deepStrictEqual(listLate(ms, arrival => arrival.gateway !== CUT_GATEWAY), []),
);

Then(
    "gateway {int} sends no leaving endpoint a request later than {int} ms after its own first such response",
    (gateway: number, ms: number) => deepStrictEqual(listLate(ms, arrival => arrival.gateway === gateway), []),
);
