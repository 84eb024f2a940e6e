import { After, Given, Then, When } from "@cucumber/cucumber";
import { type ControlStateMachine, TrafficPublisher } from "@kumquathall/control";
import { getTraffic } from "@kumquathall/control-state";
import { encodeFrame, Link, type LinkFault } from "@kumquathall/link";
import type { Command, TrafficConfiguration } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { ControlGroup } from "./controlGroup.js";
import { buildSimulatedTraffic, createSimulatedIdentity } from "./deliverySimulation.js";
import { createRandom } from "./random.js";
import { createSimulatedVm, openSimulatedConnection } from "./simulatedNetwork.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const SEED = 1;
const TIMEOUT = { timeout: 120_000 };
const ELECTION_MS = 5000;
const CATCH_UP_MS = 8000;
const STEP_MS = 1000;
const VERSIONS_PER_CUT = 4;
const MAX_ATTEMPTS = 10;

let clock: Clock | undefined;
let group: ControlGroup | undefined;
let links: Link[] = [];
let traffic: TrafficConfiguration;
let oversized: string[] = [];
/** Id of the member that receives no entries. */
let lagging = "";
let outcomes: Promise<string>[] = [];
let closeReason = "";
let callError = "";
let castError = "";

After({ tags: "@configuration-publish" }, () => {
    group?.close();
    group = undefined;
    links.forEach(link => link.close("end of scenario"));
    links = [];
    clock?.uninstall();
});

function startClock(): void {
    clock = install({ toFake: FAKED_TIMERS });
}

async function findLeader(): Promise<string> {
    for (let waitedMs = 0; waitedMs < ELECTION_MS; waitedMs += 20) {
        const leader = group?.findLeader();
        if (leader !== undefined) {
            return leader.id;
        }
        await clock?.tickAsync(20);
    }
    throw new Error("no leader was elected");
}

Given("a control group of 3 members, one of which is cut off", TIMEOUT, async () => {
    startClock();
    oversized = [];
    group = new ControlGroup({ random: createRandom(SEED) });
    group.onSend = (from, to, message) => {
        try {
            encodeFrame({ t: "cast", m: { kind: "consensus", from, message } });
        }
        catch (error) {
            oversized.push(`${from} to ${to}, ${message.kind}: ${String(error)}`);
        }
    };
    await group.start();
    const leader = await findLeader();
    const cut = [...group.members.keys()].find(id => id !== leader);
    group.rule = (from, to) => from === cut || to === cut ? [] : [1];
});

When(
    "{int} versions of {int} KB each are published and the member is connected again",
    TIMEOUT,
    async (count: number, kilobytes: number) => {
        const leader = await findLeader();
        const runtime = group?.getMember(leader).runtime;
        for (let version = 1; version <= count; version++) {
            const document = String(version).padEnd(kilobytes * 1000, "x");
            const command: Command = {
                kind: "publishTraffic",
                traffic: { ...buildSimulatedTraffic(1), version },
                document,
                at: new Date().toISOString(),
            };
            const proposed = runtime?.propose(command);
            await clock?.tickAsync(200);
            strictEqual((await proposed)?.kind, "accepted");
        }
        if (group !== undefined) {
            group.rule = () => [1];
        }
        await clock?.tickAsync(CATCH_UP_MS);
    },
);

Then("every message between members fits in a frame, and the member has all {int} versions", (count: number) => {
    deepStrictEqual(oversized, []);
    for (const member of group?.members.values() ?? []) {
        const configuration = member.stateMachine?.getState().configuration;
        strictEqual(configuration === undefined ? 0 : getTraffic(configuration)?.version, count, member.id);
    }
});

/** Publishes at a member; resolves with "confirmed" or the text of the error. */
function publishAt(id: string, next: TrafficConfiguration, document: string = JSON.stringify(next)): Promise<string> {
    const publisher = new TrafficPublisher({
        stateMachine: getStateMachine(id),
        callLeader: async (call, timeoutMs) => {
            const leader = group?.findLeader()?.runtime;
            ok(call.kind === "propose" && leader !== undefined);
            const proposed = leader.propose(structuredClone(call.command));
            const expired = new Promise<never>((_resolve, reject) => {
                setTimeout(() => reject(new Error("not confirmed in time")), timeoutMs);
            });
            return { kind: "result", result: await Promise.race([proposed, expired]) };
        },
    });
    return publisher.publish(next, document).then(() => "confirmed", error => String(error));
}

function getStateMachine(id: string): ControlStateMachine {
    const stateMachine = group?.getMember(id).stateMachine;
    ok(stateMachine !== undefined);
    return stateMachine;
}

function hasVersion(id: string, version: number): void {
    const state = getStateMachine(id).getState();
    strictEqual(getTraffic(state.configuration)?.version, version, id);
    strictEqual(state.trafficDocument, JSON.stringify({ ...traffic, version }), id);
}

Given("a control group of 3 members with version 1", TIMEOUT, async () => {
    startClock();
    traffic = buildSimulatedTraffic(40);
    outcomes = [];
    group = new ControlGroup({ random: createRandom(SEED) });
    await group.start();
    const published = publishAt(await findLeader(), traffic);
    await clock?.tickAsync(500);
    strictEqual(await published, "confirmed");
});

When("one member publishes version 2 and another version 3 at the same time", async () => {
    const leader = await findLeader();
    const other = [...group?.members.keys() ?? []].find(id => id !== leader) ?? "";
    outcomes = [publishAt(leader, { ...traffic, version: 2 }), publishAt(other, { ...traffic, version: 3 })];
    await clock?.tickAsync(1000);
});

Then("both are confirmed, and every member has version 3 with its document", async () => {
    deepStrictEqual(await Promise.all(outcomes), ["confirmed", "confirmed"]);
    [...group?.members.keys() ?? []].forEach(id => hasVersion(id, 3));
});

Given("a member that receives no more entries, but reaches the leader", async () => {
    const leader = await findLeader();
    lagging = [...group?.members.keys() ?? []].find(id => id !== leader) ?? "";
    if (group !== undefined) {
        group.rule = (_from, to, message) => to === lagging && message.kind === "append" ? [] : [1];
    }
});

Given("version 2 is published at the leader", async () => {
    const published = publishAt(await findLeader(), { ...traffic, version: 2 });
    await clock?.tickAsync(100);
    strictEqual(await published, "confirmed");
});

When("the member publishes version 3", async () => {
    outcomes = [publishAt(lagging, { ...traffic, version: 3 })];
    await clock?.tickAsync(1000);
});

Then("it is confirmed, and the leader has version 3 with its document", async () => {
    deepStrictEqual(await Promise.all(outcomes), ["confirmed"]);
    hasVersion(await findLeader(), 3);
});

When("a version with a document of {int} KB is published", async (kilobytes: number) => {
    const next = { ...traffic, version: 2 };
    outcomes = [publishAt(await findLeader(), next, "x".repeat(kilobytes * 1000))];
    await clock?.tickAsync(100);
});

Then("it is refused with the limit, and every member has version 1 with its document", async () => {
    match((await Promise.all(outcomes))[0], /above the limit of \d+; publish it in several versions/);
    [...group?.members.keys() ?? []].forEach(id => hasVersion(id, 1));
});

Given("two processes with a link", async () => {
    startClock();
    const [near, far] = openSimulatedConnection(createSimulatedVm(5000), createSimulatedVm(5000));
    const handlers = {
        onClose: (_link: Link, reason: string) => closeReason = reason,
        onFault: (_link: Link, { error }: LinkFault) => castError = String(error),
    };
    links = [
        new Link(near, { identity: createSimulatedIdentity("control", "a"), handlers }),
        new Link(far, { identity: createSimulatedIdentity("control", "b"), handlers: { onCall: message => message } }),
    ];
    await clock?.tickAsync(100);
    ok(links[0].peer !== undefined);
});

When(
    "one casts a message of {int} KB and calls with one of {int} KB",
    async (castKilobytes: number, callKilobytes: number) => {
        await links[0].call("x".repeat(callKilobytes * 1000)).catch(error => callError = String(error));
        strictEqual(closeReason, "");
        links[0].cast("x".repeat(castKilobytes * 1000));
    },
);

Then("each fails with an error that names the limit, and the link carries the next call", async () => {
    match(castError, /exceeds the limit/);
    match(callError, /exceeds the limit/);
    strictEqual(closeReason, "");
    strictEqual(links[0].isOpen(), true);
    const answer = links[0].call("next");
    await clock?.tickAsync(100);
    strictEqual(await answer, "next");
});

When(
    "the member publishes version {int} and the leader refuses the change as {string}",
    async (version: number, code: "invalid-change") => {
        const publisher = new TrafficPublisher({
            stateMachine: getStateMachine(await findLeader()),
            callLeader: () =>
                Promise.resolve({
                    kind: "result",
                    result: { kind: "refused", code, message: "the change is unreadable" },
                }),
        });
        outcomes = [publisher.publish({ ...traffic, version }, "").then(() => "confirmed", error => String(error))];
        await clock?.tickAsync(1000);
    },
);

Then("it is not confirmed, and the error says {string}", async (text: string) => {
    match((await Promise.all(outcomes))[0], new RegExp(text));
});

/** Publishes as an operator does, who sends a version again that is not confirmed. */
async function publishUntilConfirmed(): Promise<void> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
        const published = publishAt(await findLeader(), traffic);
        await clock?.tickAsync(STEP_MS);
        if (await published === "confirmed") {
            return;
        }
    }
    throw new Error(`version ${traffic.version} was not confirmed`);
}

When(
    "versions {int} to {int} are published while one member after the other is cut off and connected again",
    TIMEOUT,
    async (first: number, last: number) => {
        const ids = [...group?.members.keys() ?? []];
        for (let version = first; version <= last; version++) {
            const cut = Math.floor(version / VERSIONS_PER_CUT) % 2 === 0 ? undefined : ids[version % ids.length];
            if (group !== undefined) {
                group.rule = (from, to) => from === cut || to === cut ? [] : [1];
            }
            const accounts = traffic.accounts.map((account, at) =>
                at === version % traffic.accounts.length ? { ...account, keys: [`key-of-${version}`] } : account
            );
            traffic = { ...traffic, version, accounts, routes: traffic.routes.slice(version % 2) };
            await publishUntilConfirmed();
        }
        if (group !== undefined) {
            group.rule = () => [1];
        }
        await clock?.tickAsync(CATCH_UP_MS);
    },
);

Then("every member has version {int} with its document, and all have the same entries", (version: number) => {
    const ids = [...group?.members.keys() ?? []];
    ids.forEach(id => hasVersion(id, version));
    const [entries, ...others] = ids.map(id => getStateMachine(id).getState().configuration.entries.toJS());
    others.forEach(other => deepStrictEqual(other, entries));
});
