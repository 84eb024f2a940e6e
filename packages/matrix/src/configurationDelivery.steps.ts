import { After, Given, Then, When } from "@cucumber/cucumber";
import { ControlStateMachine, Distributor } from "@kumquathall/control";
import { getTraffic } from "@kumquathall/control-state";
import { TrafficConfigurationReader } from "@kumquathall/gateway";
import { encodeFrame, Link, type PeerIdentity } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import { type Command, RequestKind, type TrafficConfiguration, type TrafficRoute } from "@kumquathall/types";
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
    readonly vm = createSimulatedVm(MEMBER_BYTES_PER_MS);
    private readonly stateMachine = new ControlStateMachine();
    private readonly distributor = new Distributor(() => this.stateMachine.getState().configuration, logger);

    constructor(private readonly id: string) {}

    accept(socket: ConstructorParameters<typeof Link>[0]): Link {
        return new Link(socket, {
            identity: createIdentity("control", this.id),
            handlers: {
                onCall: (message, link) => ({
                    kind: "update",
                    update: this.distributor.subscribe(link, (message as { since: number }).since),
                }),
                onClose: link => this.distributor.unsubscribe(link),
            },
        });
    }

    apply(command: Command, index: number): void {
        this.stateMachine.apply(command, index, 1);
        this.distributor.schedulePush();
    }

    close(): void {
        this.distributor.close();
    }
}

function publish(): void {
    const command: Command = {
        kind: "publishTraffic",
        traffic,
        document: JSON.stringify(traffic),
        at: new Date().toISOString(),
    };
    confirmedAt.set(traffic.version, performance.now());
    members.forEach(member => member.apply(structuredClone(command), traffic.version));
}

function openGateway(bytesPerMs: number): void {
    const vm = createSimulatedVm(bytesPerMs);
    const applied = new Map<number, number>();
    appliedAt.push(applied);
    const reader = new TrafficConfigurationReader(logger, table => {
        applied.set(table.configuration.version, performance.now());
    });
    for (const member of members) {
        const [near, far] = openSimulatedConnection(vm, member.vm);
        links.push(
            member.accept(far),
            new Link(near, {
                identity: createIdentity("gateway", `gateway-${appliedAt.length}`),
                handlers: {
                    onOpen: link => void reader.subscribe(link),
                    onCast: (message, link) => reader.apply((message as { update: never }).update, link),
                },
            }),
        );
    }
}

async function revokeKeys(everyMs: number, forMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += everyMs) {
        traffic = {
            ...traffic,
            version: traffic.version + 1,
            accounts: traffic.accounts.map((account, at) =>
                at === traffic.version % traffic.accounts.length ? { ...account, keys: [] } : account
            ),
        };
        publish();
        await clock?.tickAsync(everyMs);
    }
    await clock?.tickAsync(SETTLE_MS);
}

After({ tags: "@configuration-delivery" }, () => {
    links.forEach(link => link.close("end of scenario"));
    members.forEach(member => member.close());
    group?.close();
    group = undefined;
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
        publish();
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
        publish();
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
        strictEqual(configuration === undefined ? 0 : getTraffic(configuration)?.traffic.version, count, member.id);
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
