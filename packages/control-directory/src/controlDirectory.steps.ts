import { After, Given, Then, When } from "@cucumber/cucumber";
import { LinkListener, type PeerIdentity } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import { ok, strictEqual } from "node:assert";
import { setTimeout as sleep } from "node:timers/promises";
import { ControlDirectory } from "./controlDirectory.js";

/** Longest wait for a condition, long enough for a slow machine; no step checks a duration. */
const WAIT_TIMEOUT_MS = 20_000;
const HOST = "127.0.0.1";
const REFRESH_MS = 20;
const HOUR_MS = 3_600_000;

let listeners: LinkListener[] = [];
let directory: ControlDirectory | undefined;
/** Calls that the last member has answered. */
let answered = 0;

function createIdentity(role: string, id: string): PeerIdentity {
    return { cluster: "c", controlGroup: "g", role, id, incarnation: "1" };
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    const endsAt = performance.now() + WAIT_TIMEOUT_MS;
    while (!isDone()) {
        ok(performance.now() < endsAt, "condition not met in time");
        await sleep(REFRESH_MS);
    }
}

function openDirectory(seeds: string[], refreshMs = REFRESH_MS): ControlDirectory {
    directory = new ControlDirectory({
        identity: createIdentity("gateway", "gateway-1"),
        seeds,
        handlers: {},
        logger: createLogger({ write: () => undefined }),
        refreshMs,
    });
    return directory;
}

After({ tags: "@control-directory" }, () => {
    directory?.close();
    listeners.forEach(listener => listener.close());
    directory = undefined;
    listeners = [];
    answered = 0;
});

Given(
    "control members that report {int}, {int} and {int} gateways and list each other",
    async (first: number, second: number, third: number) => {
        const counts = [first, second, third];
        for (const [at, gateways] of counts.entries()) {
            listeners.push(
                await LinkListener.listen({
                    address: { host: HOST, port: 0 },
                    identity: createIdentity("control", `control-${at}`),
                    handlers: {
                        onCall: () => {
                            answered += at === counts.length - 1 ? 1 : 0;
                            const members = listeners.map(listener => `${HOST}:${listener.getPort()}`);
                            return { kind: "members", members, gateways };
                        },
                    },
                }),
            );
        }
    },
);

Given(
    "control members that are committed up to {int}, {int} and {int} and list each other",
    async (first: number, second: number, third: number) => {
        for (const [at, committedIndex] of [first, second, third].entries()) {
            listeners.push(
                await LinkListener.listen({
                    address: { host: HOST, port: 0 },
                    identity: createIdentity("control", `control-${at}`),
                    handlers: {
                        onCall: () => {
                            answered += at === 2 ? 1 : 0;
                            return {
                                kind: "members",
                                members: listAddresses(),
                                gateways: 1,
                                isMember: true,
                                committedIndex,
                            };
                        },
                    },
                }),
            );
        }
    },
);

function listAddresses(): string[] {
    return listeners.map(listener => `${HOST}:${listener.getPort()}`);
}

When("a process knows only the first of them", () => {
    openDirectory([`${HOST}:${listeners[0].getPort()}`]);
});

When("a process that refreshes the list once an hour knows only the first of them", () => {
    openDirectory([`${HOST}:${listeners[0].getPort()}`], HOUR_MS);
});

Then(
    "it links to all {int}",
    { timeout: WAIT_TIMEOUT_MS * 2 },
    (count: number) => waitUntil(() => directory?.listLinks().length === count),
);

Then("it counts {int} gateways", { timeout: WAIT_TIMEOUT_MS * 2 }, async (count: number) => {
    const before = answered;
    await waitUntil(() => answered >= before + 2);
    strictEqual(directory?.countGateways(), count);
});

Then(
    "it knows that a process beside them whose log ends at {int} is no member: {word}",
    { timeout: WAIT_TIMEOUT_MS * 2 },
    async (lastIndex: number, expected: string) => {
        const before = answered;
        await waitUntil(() => answered >= before + 2);
        strictEqual(directory?.isListedWithout("control-9", lastIndex), expected === "yes");
    },
);

Then("it knows that the first of them is no member: no", () => {
    strictEqual(directory?.isListedWithout(listAddresses()[0], 0), false);
});

Then("a process that knows none of them counts {int} gateways", (count: number) => {
    strictEqual(openDirectory([]).countGateways(), count);
});
