import { After, Given, Then, When } from "@cucumber/cucumber";
import { ControlStateMachine, Distributor, TrafficPublisher } from "@kumquathall/control";
import { getTraffic } from "@kumquathall/control-state";
import { TrafficConfigurationReader } from "@kumquathall/gateway";
import { encodeFrame, Link, type PeerIdentity } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import {
    type Command,
    type ControlCall,
    RequestKind,
    type RevisionCast,
    type TrafficConfiguration,
    type TrafficRoute,
} from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { ControlGroup } from "./controlGroup.js";
import { createSimulatedVm, openSimulatedConnection } from "./simulatedNetwork.js";

const TIMEOUT = { timeout: 120_000 };
/** Bandwidth of a control member's VM, in bytes per millisecond (170 Mbit/s). */
const MEMBER_BYTES_PER_MS = 21_250;
/** Time in which all deliveries end, whatever their delay. */
const SETTLE_MS = 15_000;
const ELECTION_MS = 5000;
const CATCH_UP_MS = 8000;

const logger = createLogger({ level: "error", write: () => undefined });

let clock: Clock | undefined;
let members: DeliveringMember[] = [];
let links: Link[] = [];
let traffic: TrafficConfiguration;
let confirmedAt: Map<number, number>;
/** When each gateway had each version, or a newer one, in force. */
let appliedAt: Map<number, number>[] = [];
let readers: TrafficConfigurationReader[] = [];
let group: ControlGroup | undefined;
let oversized: string[] = [];

function createIdentity(role: string, id: string): PeerIdentity {
    return { cluster: "c", controlGroup: "g", role, id, incarnation: "1" };
}

function buildRoutes(from: number, count: number): TrafficRoute[] {
    return Array.from({ length: count }, (_, at) => ({
        name: `route-${from + at}`,
        host: `host${(from + at) % 7}.example`,
        pathPrefix: `/service-${from + at}/`,
        kind: RequestKind.Idempotent,
        timeoutMs: 3000,
        objectiveMs: 300,
        gapObjectiveMs: undefined,
        priority: 1,
        targets: [{ service: "orders", weight: 1 }],
        maxEndpoints: 2,
        isPublic: false,
        isResumable: false,
    }));
}

function buildTraffic(routes: number): TrafficConfiguration {
    return {
        version: 1,
        routes: buildRoutes(0, routes),
        services: [{ name: "orders", maxConnections: 64, engine: undefined }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        accounts: Array.from({ length: 60 }, (_, at) => ({ name: `account-${at}`, keys: [`key-${at}`], priority: 1 })),
    };
}

/** A control member as gateways see it: applies confirmed commands and sends the configuration over its links. */
class DeliveringMember {
    /** Whether reads of the configuration get no answer. */
    isSilent = false;
    readonly vm = createSimulatedVm(MEMBER_BYTES_PER_MS);
    private readonly stateMachine = new ControlStateMachine();
    private readonly distributor = new Distributor(() => this.stateMachine.getState().configuration, logger);

    constructor(private readonly id: string) {}

    accept(socket: ConstructorParameters<typeof Link>[0]): Link {
        return new Link(socket, {
            identity: createIdentity("control", this.id),
            handlers: {
                onCall: (message, link) => {
                    const call = message as ControlCall;
                    if (call.kind === "readConfiguration" && this.isSilent) {
                        return new Promise(() => undefined);
                    }
                    return call.kind === "readConfiguration"
                        ? this.distributor.read(call.since, call.keyPrefix ?? "")
                        : this.distributor.watch(link);
                },
                onClose: link => this.distributor.removeWatcher(link),
            },
        });
    }

    apply(command: Command, index: number): void {
        strictEqual(this.stateMachine.apply(command, index, 1).kind, "accepted");
        this.distributor.scheduleAnnouncement();
    }

    /** Publishes as a member does that has applied the version before. */
    async publish(): Promise<Command> {
        let proposed: Command | undefined;
        const publisher = new TrafficPublisher({
            stateMachine: this.stateMachine,
            callLeader: call => {
                proposed = call.kind === "propose" ? call.command : undefined;
                return Promise.resolve({ kind: "result", result: { kind: "accepted", revision: traffic.version } });
            },
        });
        await publisher.publish(traffic, JSON.stringify(traffic));
        ok(proposed !== undefined);
        return proposed;
    }

    close(): void {
        this.distributor.close();
    }
}

async function publish(member: DeliveringMember = members[0]): Promise<void> {
    const command = await member.publish();
    confirmedAt.set(traffic.version, performance.now());
    members.forEach(member => member.apply(structuredClone(command), traffic.version));
}

function openGateway(bytesPerMs: number): void {
    const vm = createSimulatedVm(bytesPerMs);
    const applied = new Map<number, number>();
    appliedAt.push(applied);
    const gateway = appliedAt.length;
    const reader = new TrafficConfigurationReader({
        logger,
        onChange: table => applied.set(table.getVersion(), performance.now()),
        random: () => (gateway * 0.37 + links.length * 0.61) % 1,
    });
    readers.push(reader);
    for (const member of members) {
        const [near, far] = openSimulatedConnection(vm, member.vm);
        links.push(
            member.accept(far),
            new Link(near, {
                identity: createIdentity("gateway", `gateway-${appliedAt.length}`),
                handlers: {
                    onOpen: link => void reader.watch(link),
                    onCast: (message, link) => reader.recordRevision(link, (message as RevisionCast).revision),
                    onClose: link => reader.removeLink(link),
                },
            }),
        );
    }
}

async function revokeKey(): Promise<void> {
    const revoked = traffic.version % traffic.accounts.length;
    const accounts = traffic.accounts.map((account, at) => at === revoked ? { ...account, keys: [] } : account);
    traffic = { ...traffic, version: traffic.version + 1, accounts };
    await publish();
}

async function revokeKeys(everyMs: number, forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += everyMs) {
        await revokeKey();
        await clock?.tickAsync(everyMs);
    }
    await clock?.tickAsync(SETTLE_MS);
}

After({ tags: "@configuration-delivery" }, () => {
    readers.forEach(reader => reader.close());
    links.forEach(link => link.close("end of scenario"));
    members.forEach(member => member.close());
    group?.close();
    group = undefined;
    readers = [];
    links = [];
    members = [];
    appliedAt = [];
    clock?.uninstall();
});

function startClock(): void {
    clock = install({
        toFake: [
            "setTimeout",
            "clearTimeout",
            "setInterval",
            "clearInterval",
            "setImmediate",
            "clearImmediate",
            "performance",
            "Date",
        ],
    });
}

Given(
    "{int} control members and {int} gateways with links of {int} MB per second each, and a configuration of {int} routes",
    TIMEOUT,
    async (memberCount: number, gatewayCount: number, megabytes: number, routes: number) => {
        startClock();
        confirmedAt = new Map();
        members = Array.from({ length: memberCount }, (_, at) => new DeliveringMember(`control-${at}`));
        traffic = buildTraffic(routes);
        await publish();
        for (let count = 0; count < gatewayCount; count++) {
            openGateway(megabytes * 1000);
        }
        await clock?.tickAsync(SETTLE_MS);
        ok(appliedAt.every(applied => applied.has(1)), "a gateway has not received the first version");
        confirmedAt.clear();
    },
);

When("a key is revoked every {int} ms for {int} s", TIMEOUT, (everyMs: number, seconds: number) => {
    return revokeKeys(everyMs, seconds * 1000);
});

When(
    "{int} routes are added and a key is revoked every {int} ms for {int} s",
    TIMEOUT,
    async (routes: number, everyMs: number, seconds: number) => {
        traffic = {
            ...traffic,
            version: traffic.version + 1,
            routes: [...traffic.routes, ...buildRoutes(traffic.routes.length, routes)],
        };
        await publish();
        await clock?.tickAsync(everyMs);
        await revokeKeys(everyMs, seconds * 1000);
    },
);

Then("each version was in force at every gateway within {int} ms of its confirmation", (limitMs: number) => {
    const late: string[] = [];
    for (const [version, confirmed] of confirmedAt) {
        for (const [gateway, applied] of appliedAt.entries()) {
            const times = [...applied].filter(([other]) => other >= version).map(([, time]) => time - confirmed);
            const delayMs = Math.min(Number.POSITIVE_INFINITY, ...times);
            if (delayMs > limitMs) {
                late.push(`version ${version} at gateway ${gateway}: ${Math.round(delayMs)} ms`);
            }
        }
    }
    deepStrictEqual(late, []);
});

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
    group = new ControlGroup(undefined);
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
                traffic: { ...buildTraffic(1), version },
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

let closeReason = "";
let callError = "";

Given("two processes with a link", async () => {
    startClock();
    const [near, far] = openSimulatedConnection(createSimulatedVm(5000), createSimulatedVm(5000));
    const handlers = { onClose: (_link: Link, reason: string) => closeReason = reason };
    links = [
        new Link(near, { identity: createIdentity("control", "a"), handlers }),
        new Link(far, { identity: createIdentity("control", "b"), handlers: {} }),
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

Then("the link is closed with a reason that names the limit, and the call fails", () => {
    match(closeReason, /exceeds the limit/);
    match(callError, /exceeds the limit/);
    strictEqual(links[0].isOpen(), false);
});

Given("the first member does not answer reads", () => {
    members[0].isSilent = true;
});

When("a key is revoked", () => revokeKey());

Then("the gateway is behind after {int} ms, but not after {int} ms", async (behindMs: number, servingMs: number) => {
    await clock?.tickAsync(servingMs);
    strictEqual(readers[0].isBehind(performance.now()), false);
    await clock?.tickAsync(behindMs - servingMs);
    strictEqual(readers[0].isBehind(performance.now()), true);
});

When("the first member answers reads again", async () => {
    members[0].isSilent = false;
    await clock?.tickAsync(SETTLE_MS);
});

Then("the gateway has version {int} and is not behind", (version: number) => {
    strictEqual(readers[0].getTable()?.getVersion(), version);
    strictEqual(readers[0].isBehind(performance.now()), false);
});

let lagging = "";
let outcomes: Promise<string>[] = [];

/** Publishes at a member; resolves with "confirmed" or the text of the error. */
function publishAt(id: string, next: TrafficConfiguration, document: string = JSON.stringify(next)): Promise<string> {
    const publisher = new TrafficPublisher({
        stateMachine: getStateMachine(id),
        callLeader: async call => {
            const leader = group?.findLeader()?.runtime;
            ok(call.kind === "propose" && leader !== undefined);
            return { kind: "result", result: await leader.propose(structuredClone(call.command)) };
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
    traffic = buildTraffic(40);
    outcomes = [];
    group = new ControlGroup(undefined);
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
