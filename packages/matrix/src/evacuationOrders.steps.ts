import { After, Given, Then, When } from "@cucumber/cucumber";
import { getLastIndex } from "@kumquathall/consensus";
import { CallerActivity, type ControlStateMachine, EvacuationOrders, LeaderCaller } from "@kumquathall/control";
import { listEvacuatedDataCentres } from "@kumquathall/control-state";
import { createLogger } from "@kumquathall/logger";
import type { ControlAnswer, ControlCall } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { ControlGroup, type GroupMember } from "./controlGroup.js";
import { createRandom } from "./random.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const SEED = 1;
const TIMEOUT = { timeout: 120_000 };
const ELECTION_MS = 8000;
const SETTLE_MS = 2500;
const STEP_MS = 20;
/** Time for which callers wait for a response. */
const CALLER_MS = 1000;

type Runtime = NonNullable<GroupMember["runtime"]>;

interface Outcome {
    error: string | undefined;
    durationMs: number;
}

const logger = createLogger({ level: "error", write: () => undefined });

let clock: Clock | undefined;
let group: ControlGroup | undefined;
let known: string[] = [];
/** Endings of the orders so far. */
let outcomes: Outcome[] = [];
let follower = "";
const ordersByProcess = new WeakMap<Runtime, EvacuationOrders>();
/** Index of the newest log entry before the first order. */
let firstIndex = 0;
/** Members to which calls of others are held up, and the calls that wait. */
const heldUp = new Set<string>();
let waiting: (() => void)[] = [];
/** Calls that were held up for longer than their sender waited. */
let lateCalls = 0;
let formerLeader = "";

After({ tags: "@evacuation-orders" }, () => {
    group?.close();
    group = undefined;
    clock?.uninstall();
});

function getGroup(): ControlGroup {
    ok(group !== undefined);
    return group;
}

function listMembers(): GroupMember[] {
    return [...getGroup().members.values()];
}

async function findLeader(): Promise<string> {
    for (let waitedMs = 0; waitedMs < ELECTION_MS; waitedMs += STEP_MS) {
        const leader = getGroup().findLeader();
        if (leader !== undefined) {
            return leader.id;
        }
        await clock?.tickAsync(STEP_MS);
    }
    throw new Error("no leader was elected");
}

async function findFollower(): Promise<string> {
    const leader = await findLeader();
    const found = listMembers().find(member => member.id !== leader && member.runtime !== undefined);
    ok(found !== undefined);
    follower = found.id;
    return follower;
}

/** Returns the orders of a member's process. */
function getOrders(id: string): EvacuationOrders {
    const { runtime, stateMachine } = getGroup().getMember(id);
    ok(runtime !== undefined && stateMachine !== undefined);
    const orders = ordersByProcess.get(runtime) ?? buildOrders(id, runtime, stateMachine);
    ordersByProcess.set(runtime, orders);
    return orders;
}

function buildOrders(id: string, runtime: Runtime, stateMachine: ControlStateMachine): EvacuationOrders {
    const caller = new LeaderCaller({
        id,
        runtime,
        logger,
        answerLocally: call => answer(id, call),
        getLeaderLink: leaderId => buildLink(leaderId),
        listLinks: () => listMembers().filter(member => member.id !== id).map(member => buildLink(member.id)),
    });
    return new EvacuationOrders({
        runtime,
        stateMachine,
        logger,
        callLeader: (call, timeoutMs, canSend) => caller.call(call, timeoutMs, canSend),
        listDataCentres: () => known,
    });
}

/** Answers a call as the control role does. */
function answer(id: string, call: ControlCall): Promise<ControlAnswer> {
    const { runtime } = getGroup().getMember(id);
    if (runtime === undefined || call.kind !== "propose") {
        return Promise.resolve({ kind: "unavailable", message: "the process has ended" });
    }
    return getOrders(id).propose(call.command).then(
        result => ({ kind: "result", result }),
        error => ({ kind: "unavailable", message: String(error) }),
    );
}

/** Delivers a call to a member once that is not held up. */
async function deliver(id: string, message: unknown, timeoutMs: number): Promise<ControlAnswer> {
    const sentAt = performance.now();
    if (heldUp.has(id)) {
        await new Promise<void>(resolve => waiting.push(resolve));
        lateCalls += performance.now() - sentAt > timeoutMs ? 1 : 0;
    }
    return answer(id, structuredClone(message) as ControlCall);
}

function buildLink(id: string) {
    return {
        call: (message: unknown, timeoutMs = 0) =>
            Promise.race([
                deliver(id, message, timeoutMs),
                new Promise((_resolve, reject) => setTimeout(() => reject(new Error("no answer")), timeoutMs)),
            ]),
    };
}

interface OrderPlan {
    id: string;
    name: string;
    isEvacuated: boolean;
    /** Time for which the member has stood still, in milliseconds. */
    waitMs?: number;
    /** Called between the last response on the caller's connection and the order. */
    idle?: () => Promise<void>;
}

async function order({ id, name, isEvacuated, waitMs = 0, idle }: OrderPlan): Promise<void> {
    const startedAt = performance.now();
    const finish = (error?: string) => {
        outcomes.push({ error, durationMs: performance.now() - startedAt });
    };
    const { stateMachine } = getGroup().getMember(id);
    ok(stateMachine !== undefined);
    const activity = new CallerActivity({
        measureWaitMs: () => waitMs,
        getRevision: () => stateMachine.getState().configuration.revision,
    });
    const connection = {};
    activity.recordOpen(connection);
    await idle?.();
    return getOrders(id).set(name, isEvacuated, activity.buildOrder(connection, () => true)).then(
        () => finish(),
        error => finish(String(error)),
    );
}

Given("a control group of 3 members that knows the data centres {string}, {string} and {string}", TIMEOUT, async (
    first: string,
    second: string,
    third: string,
) => {
    clock = install({ toFake: FAKED_TIMERS });
    known = [first, second, third];
    outcomes = [];
    heldUp.clear();
    waiting = [];
    lateCalls = 0;
    group = new ControlGroup({ random: createRandom(SEED) });
    await group.start();
    const leader = await findLeader();
    await clock.tickAsync(SETTLE_MS);
    firstIndex = getLastIndex(group.getMember(leader).runtime!.getState());
});

async function chooseMember(place: string): Promise<string> {
    if (place === "that follower") {
        return follower;
    }
    return place === "a follower" ? findFollower() : findLeader();
}

When(
    /^(the evacuation of )?"(.)" is (?:evacuated|withdrawn) at (a follower|that follower|the (?:new )?leader)(, without waiting)?$/,
    TIMEOUT,
    async (withdrawal: string | null, name: string, place: string, isAsync: string | null) => {
        const ordered = order({ id: await chooseMember(place), name, isEvacuated: withdrawal === null });
        if (isAsync === null) {
            await clock?.tickAsync(SETTLE_MS);
            await ordered;
        }
    },
);

When(
    /^(the evacuation of )?"(.)" is (?:evacuated|withdrawn) at every member (\d+) times$/,
    TIMEOUT,
    async (withdrawal: string | null, name: string, times: string) => {
        const ordered = listMembers().flatMap(member =>
            Array.from(
                { length: Number(times) },
                () => order({ id: member.id, name, isEvacuated: withdrawal === null }),
            )
        );
        await clock?.tickAsync(SETTLE_MS);
        await Promise.all(ordered);
    },
);

When(
    /^(the evacuation of )?"(.)" is (?:evacuated|withdrawn) at a follower that has stood still for (\d+) ms$/,
    TIMEOUT,
    async (withdrawal: string | null, name: string, ms: string) => {
        const id = await findFollower();
        await order({ id, name, isEvacuated: withdrawal === null, waitMs: Number(ms) });
    },
);

When(
    /^(the evacuation of )?"(.)" is (?:evacuated|withdrawn) on an idle connection that was last used before "." was evacuated$/,
    TIMEOUT,
    async (withdrawal: string | null, name: string) => {
        const id = await findLeader();
        const ordered = order({
            id,
            name,
            isEvacuated: withdrawal === null,
            idle: async () => {
                await order({ id, name, isEvacuated: withdrawal !== null });
                await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
            },
        });
        await clock?.tickAsync(2 * SETTLE_MS);
        await ordered;
    },
);

When("calls between members are held up", async () => {
    heldUp.add(await findLeader());
});

When("the callers move on", () => clock?.tickAsync(CALLER_MS));

When("the calls arrive", async () => {
    heldUp.clear();
    waiting.forEach(resume => resume());
    waiting = [];
    await clock?.tickAsync(SETTLE_MS);
});

When("the leader is silent", async () => {
    formerLeader = await findLeader();
    heldUp.add(formerLeader);
    getGroup().rule = (from, to) => from === formerLeader || to === formerLeader ? [] : [1];
});

When("another member leads", TIMEOUT, async () => {
    const isNew = () => getGroup().findLeader()?.id !== undefined && getGroup().findLeader()?.id !== formerLeader;
    while (!isNew()) {
        await clock?.tickAsync(STEP_MS);
    }
    await clock?.tickAsync(CALLER_MS);
});

When("the former leader goes on", async () => {
    heldUp.clear();
    waiting.forEach(resume => resume());
    waiting = [];
    getGroup().rule = () => [1];
    await clock?.tickAsync(SETTLE_MS);
});

Then("{int} call(s) has/have arrived after its/their sender gave up", (count: number) => strictEqual(lateCalls, count));

When("the leader's process ends", async () => {
    getGroup().kill(await findLeader(), 0);
    await findLeader();
});

When("all processes end and start again", async () => {
    listMembers().forEach(member => getGroup().kill(member.id, 0));
    for (const member of listMembers()) {
        await getGroup().startMember(member.id);
    }
    await findLeader();
    await clock?.tickAsync(SETTLE_MS);
});

When("that follower receives nothing more, but reaches the leader", () => {
    getGroup().rule = (_from, to, message) => to === follower && message.kind === "append" ? [] : [1];
});

When("all members are cut off from each other for {int} ms", async (ms: number) => {
    getGroup().rule = () => [];
    await clock?.tickAsync(ms);
});

When("the members reach each other again", async () => {
    getGroup().rule = () => [1];
    await clock?.tickAsync(SETTLE_MS);
});

When("{string} is no longer a known data centre", (name: string) => {
    known = known.filter(item => item !== name);
});

Then("no further order is acknowledged", async () => {
    await clock?.tickAsync(STEP_MS);
    deepStrictEqual(outcomes.slice(1).filter(outcome => outcome.error === undefined), []);
});

Then(/^all (\d+) orders were acknowledged$/, async (count: string) => {
    await clock?.tickAsync(SETTLE_MS);
    deepStrictEqual(outcomes.filter(outcome => outcome.error !== undefined), []);
    strictEqual(outcomes.length, Number(count));
});

Then(
    /^(\d+) orders? (?:was|were) acknowledged and (\d+) failed(?: within (\d+) ms)? with "(.*)"$/,
    (acknowledged: string, count: string, withinMs: string | null, text: string) => {
        const failed = outcomes.filter(outcome => outcome.error !== undefined);
        strictEqual(failed.length, Number(count));
        strictEqual(outcomes.length - failed.length, Number(acknowledged));
        deepStrictEqual(failed.filter(({ error }) => error?.includes(text) !== true), []);
        deepStrictEqual(failed.filter(({ durationMs }) => durationMs > Number(withinMs ?? Infinity)), []);
    },
);

function listEvacuated(member: GroupMember): string[] {
    ok(member.stateMachine !== undefined, `${member.id} does not run`);
    return listEvacuatedDataCentres(member.stateMachine.getState().configuration);
}

Then(/^at (every member|the leader) "(.*)" is evacuated$/, async (place: string, names: string) => {
    const leader = await findLeader();
    const members = listMembers().filter(member => place === "every member" || member.id === leader);
    members.forEach(member => deepStrictEqual(listEvacuated(member), names.split("").sort(), member.id));
});

Then("all members agree", () => {
    const [first, ...others] = listMembers().map(listEvacuated);
    others.forEach(other => deepStrictEqual(other, first));
});

Then("the leader's log, audit trail and stored results hold {int} order(s)", async (count: number) => {
    const { runtime, stateMachine } = getGroup().getMember(await findLeader());
    strictEqual(getLastIndex(runtime!.getState()) - firstIndex, count);
    strictEqual(stateMachine?.getState().audit.size, count);
    strictEqual(stateMachine.getState().changes.size, 0);
});
