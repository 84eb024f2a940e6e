import { After, Given, Then, When } from "@cucumber/cucumber";
import type { TrafficConfigurationReader } from "@kumquathall/gateway";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { isDeepStrictEqual } from "node:util";
import { DeliverySimulation } from "./deliverySimulation.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const TIMEOUT = { timeout: 120_000 };
const MS_PER_SECOND = 1000;
const BYTES_PER_MS = 1000;
/** Time within which an evacuation must be in force, in milliseconds. */
const IN_FORCE_MS = 500;

let clock: Clock | undefined;
/** Gateways that did not have a change in force in time. */
let late: TrafficConfigurationReader[] = [];
let simulation: DeliverySimulation | undefined;

function getSimulation(): DeliverySimulation {
    if (simulation === undefined) {
        throw new Error("no simulation was started");
    }
    return simulation;
}

After({ tags: "@configuration-delivery" }, () => {
    simulation?.close();
    simulation = undefined;
    clock?.uninstall();
});

Given(
    "{int} control members and {int} gateways with links of {int} MB per second each, and a configuration of {int} routes",
    TIMEOUT,
    async (members: number, gateways: number, megabytes: number, routes: number) => {
        const installed = install({ toFake: FAKED_TIMERS });
        clock = installed;
        simulation = await DeliverySimulation.start({
            members,
            gateways,
            routes,
            gatewayBytesPerMs: megabytes * BYTES_PER_MS,
            advance: async ms => {
                await installed.tickAsync(ms);
            },
        });
    },
);

Given("the first member does not answer reads", () => {
    getSimulation().members[0].isSilent = true;
});

When("a key is revoked every {int} ms for {int} s", TIMEOUT, (everyMs: number, seconds: number) => {
    return getSimulation().publishRevocations(everyMs, seconds * MS_PER_SECOND);
});

When(
    "{int} routes are added and a key is revoked every {int} ms for {int} s",
    TIMEOUT,
    async (routes: number, everyMs: number, seconds: number) => {
        await getSimulation().addRoutes(routes);
        await clock?.tickAsync(everyMs);
        await getSimulation().publishRevocations(everyMs, seconds * MS_PER_SECOND);
    },
);

When("a key is revoked", () => getSimulation().publishRevocation());

When("the first member answers reads again", async () => {
    getSimulation().members[0].isSilent = false;
    await getSimulation().settle();
});

Given("{int} of the members run an earlier build", (count: number) => {
    getSimulation().members.slice(0, count).forEach(member => member.isEarlierBuild = true);
});

When(
    "{string} is evacuated, a key is revoked, {string} is evacuated and the evacuation of {string} is withdrawn, 1 s after each other",
    TIMEOUT,
    async (first: string, second: string, withdrawn: string) => {
        const started = getSimulation();
        const changes: [() => unknown, string[]][] = [
            [() => started.setEvacuation(first, true), [first]],
            [() => started.publishRevocation(), [first]],
            [() => started.setEvacuation(second, true), [first, second]],
            [() => started.setEvacuation(withdrawn, false), [second]],
        ];
        late = [];
        for (const [change, expected] of changes) {
            await change();
            await clock?.tickAsync(IN_FORCE_MS);
            late.push(...started.readers.filter(reader => !isDeepStrictEqual(listEvacuated(reader), expected)));
            await clock?.tickAsync(MS_PER_SECOND - IN_FORCE_MS);
        }
    },
);

Then("each of them was in force at every gateway within {int} ms", (limitMs: number) => {
    strictEqual(limitMs, IN_FORCE_MS);
    strictEqual(late.length, 0);
});

Then("a gateway that starts now has evacuated {string} only, before it serves", async (name: string) => {
    const reader = getSimulation().openGateway();
    while (reader.getTable() === undefined) {
        await clock?.tickAsync(1);
    }
    deepStrictEqual(listEvacuated(reader), [name]);
});

/** Lists which of the scenario's data centres are evacuated at a gateway. */
function listEvacuated(reader: TrafficConfigurationReader): string[] {
    return ["a", "b"].filter(name => reader.getTable()?.isEvacuated(name) === true);
}

Then("each version was in force at every gateway within {int} ms of its confirmation", (limitMs: number) => {
    const late = getSimulation().listDeliveries().filter(delivery => delivery.delayMs > limitMs);
    deepStrictEqual(late, []);
});

Then("the gateways have read less than {int} copies of it each", (copies: number) => {
    const { readers } = getSimulation();
    const perGateway = getSimulation().countReadBytes() / readers.length;
    ok(perGateway < copies * getSimulation().measureWhole(), `${perGateway} bytes`);
});

Then("the gateway is behind after {int} ms, but not after {int} ms", async (behindMs: number, servingMs: number) => {
    const [reader] = getSimulation().readers;
    await clock?.tickAsync(servingMs);
    strictEqual(reader.isBehind(performance.now()), false);
    await clock?.tickAsync(behindMs - servingMs);
    strictEqual(reader.isBehind(performance.now()), true);
});

Then("the gateway has version {int} and is not behind", (version: number) => {
    const [reader] = getSimulation().readers;
    strictEqual(reader.getTable()?.getVersion(), version);
    strictEqual(reader.isBehind(performance.now()), false);
});
