import { After, Given, Then, When } from "@cucumber/cucumber";
import { EVACUATION_KEY_PREFIX } from "@kumquathall/control-state";
import { type ConfigurationUpdate, type ConfigurationValue, DrainKind, RequestKind } from "@kumquathall/types";
import { type Clock, type FakeMethod, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import type { EvacuationChange } from "./evacuations.js";
import { RouteTable } from "./routeTable.js";
import type { CallerSocket } from "./testing/callerSocket.js";
import { ForwardingHarness, SERVICE } from "./testing/forwardingHarness.js";
import { ScriptedEndpoint, sendAnswer } from "./testing/scriptedEndpoint.js";

const FAKED: FakeMethod[] = ["setTimeout", "clearTimeout", "setInterval", "clearInterval", "performance", "Date"];
const ENDPOINT_NUMBER = /(\d+)$/;

let clock: Clock | undefined;
let harness: ForwardingHarness | undefined;
let callers: CallerSocket[] = [];
let table: RouteTable;
let changes: EvacuationChange[] = [];
let revision = 1;

After({ tags: "@evacuation" }, () => {
    harness?.close();
    harness = undefined;
    clock?.uninstall();
    clock = undefined;
    revision = 1;
});

function getHarness(): ForwardingHarness {
    if (harness === undefined) {
        throw new Error("there is no gateway; begin the scenario with one");
    }
    return harness;
}

function splitWords(text: string): string[] {
    return text.split(" ").filter(word => word !== "");
}

function buildDrain(name: string): ConfigurationValue {
    return { kind: "drain", drain: { kind: DrainKind.DataCentre, name, operator: "o" } };
}

/** Builds an update that begins or, with `undefined`, ends evacuations, as a member of an earlier build sends it too. */
function buildUpdate(
    isSnapshot: boolean,
    evacuations: [string, ConfigurationValue | undefined][],
): ConfigurationUpdate {
    const since = isSnapshot ? 0 : revision;
    revision++;
    const own = evacuations.map(([name, value]) => ({ key: EVACUATION_KEY_PREFIX + name, revision, value }));
    const other = { kind: DrainKind.Vm, name: "v", operator: "o" };
    return {
        since,
        revision,
        isSnapshot,
        changes: [...own, { key: "drain/vm/v", revision, value: { kind: "drain", drain: other } }],
    };
}

function parseUpdate(text: string): ConfigurationUpdate {
    const [, kind, names] = /^a (snapshot|difference) of (.*)$/.exec(text) ?? [];
    return kind === "snapshot"
        ? buildUpdate(true, splitWords(names).map(name => [name, buildDrain(name)]))
        : buildUpdate(
            false,
            splitWords(names).map(
                word => [word.slice(1), word.startsWith("+") ? buildDrain(word.slice(1)) : undefined],
            ),
        );
}

When(/^a gateway applies (a (?:snapshot|difference) of .*)$/, (updates: string) => {
    table = new RouteTable();
    changes = updates.split(", ").flatMap(text => table.apply(parseUpdate(text)));
});

Then(
    "the evacuated data centres are {string}",
    (evacuated: string) => {
        const names = ["a", "b"];
        deepStrictEqual(names.filter(name => table.isEvacuated(name)), splitWords(evacuated));
        strictEqual(table.countEvacuated(), splitWords(evacuated).length);
    },
);

Then("the reported changes are {string}", (expected: string) => {
    const reported = changes.map(({ dataCentre, isEvacuated }) => `${isEvacuated ? "+" : "-"}${dataCentre}`);
    deepStrictEqual(reported, splitWords(expected));
});

Given(/^a gateway with endpoints in (.*)$/, (text: string) => {
    clock = install({ toFake: FAKED });
    callers = [];
    const dataCentres = [...text.matchAll(/"(.)"/g)].map(match => match[1]);
    harness = new ForwardingHarness({
        clock,
        endpoints: dataCentres.length,
        dataCentres,
        route: { kind: RequestKind.Idempotent, isResumable: false },
    });
});

Given("endpoint {int} opens its connections", (at: number) => {
    getHarness().endpoints[at - 1].isConnecting = true;
});

async function evacuate(name: string): Promise<void> {
    getHarness().table.apply(buildUpdate(false, [[name, buildDrain(name)]]));
    getHarness().tracker.takeBack(name);
    await getHarness().settle();
}

When("{string} is evacuated", evacuate);

When("{string} has an endpoint as well, and {string} is evacuated", async (other: string, name: string) => {
    const { endpoints, tracker } = getHarness();
    endpoints.push(ScriptedEndpoint.register(tracker, SERVICE, `e${endpoints.length + 1}`, other));
    await evacuate(name);
});

When("the evacuation of {string} is withdrawn", (name: string) => {
    getHarness().table.apply(buildUpdate(false, [[name, undefined]]));
});

When("{int} requests reach the gateway", async (count: number) => {
    const added = Array.from({ length: count }, () => getHarness().openConnection());
    callers.push(...added);
    for (const caller of added) {
        await getHarness().sendRequest(caller, { "content-length": "0" });
    }
});

When("the endpoints answer all requests", async () => {
    const open = getHarness().endpoints.flatMap(endpoint => endpoint.listOpenAttempts());
    open.forEach(attempt => sendAnswer(attempt, 200, "answer"));
    await getHarness().settle();
});

Then(/^the endpoints have got (\d.*) requests$/, (text: string) => {
    const expected = [...text.matchAll(/\d+/g)].map(Number);
    deepStrictEqual(getHarness().endpoints.map(endpoint => endpoint.attempts.length), expected);
});

Then("each endpoint has got a request", () => {
    const idle = getHarness().endpoints.filter(endpoint => endpoint.attempts.length === 0);
    deepStrictEqual(idle.map(({ id }) => ENDPOINT_NUMBER.exec(id)?.[1]), []);
});

Then(
    "no request waits at endpoint {int}, and those at endpoint {int} are not aborted",
    (taken: number, kept: number) => {
        const { endpoints } = getHarness();
        ok(endpoints[taken - 1].attempts.length > 0 && endpoints[kept - 1].attempts.length > 0);
        strictEqual(endpoints[taken - 1].listOpenAttempts().length, 0);
        strictEqual(endpoints[kept - 1].listOpenAttempts().length, endpoints[kept - 1].attempts.length);
    },
);

Then("{int} callers have got the answer, and none another status", (count: number) => {
    strictEqual(callers.length, count);
    deepStrictEqual(callers.filter(({ received }) => !received.startsWith("HTTP/1.1 200 ")), []);
});

Then(
    "{int} callers have got status {int} with {string} and a time of {int} to {int} ms",
    (count: number, status: number, cause: string, least: number, most: number) => {
        strictEqual(callers.length, count);
        for (const { received } of callers) {
            ok(received.startsWith(`HTTP/1.1 ${status} `) && received.includes(`\r\n\r\n${cause}`), received);
            const returnMs = Number(/return-ms: (\d+)/.exec(received)?.[1]);
            ok(returnMs >= least && returnMs <= most, received);
        }
    },
);
