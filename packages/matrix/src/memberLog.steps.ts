import { After, Given, Then, When } from "@cucumber/cucumber";
import type { Command } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { ControlGroup, type GroupMember } from "./controlGroup.js";
import { createRandom } from "./random.js";
import { FAKED_TIMERS } from "./virtualTime.js";

const SEED = 1;
const TIMEOUT = { timeout: 60_000 };
const ELECTION_MS = 4000;
const COMMIT_MS = 50;
const STEP_MS = 20;
const MS_PER_SECOND = 1000;
const ADDED_MEMBER = "d";

let clock: Clock;
let group: ControlGroup;
let snapshotEvery = 0;
let outcome = "";
let suspended: GroupMember | undefined;

After({ tags: "@member-log" }, () => {
    group.close();
    clock.uninstall();
});

async function findLeader(except?: string): Promise<GroupMember> {
    for (let waitedMs = 0; waitedMs < ELECTION_MS; waitedMs += STEP_MS) {
        const leader = group.findLeader();
        if (leader !== undefined && leader.id !== except) {
            return leader;
        }
        await clock.tickAsync(STEP_MS);
    }
    throw new Error("no leader was elected");
}

function buildCommand(): Command {
    return { kind: "raiseSafePoint", revision: 0, ledgerTimeMs: 0, at: new Date().toISOString() };
}

async function commitEntries(leader: GroupMember, isEnough: (committed: number) => boolean): Promise<void> {
    for (let committed = 0; !isEnough(committed); committed++) {
        const proposed = leader.runtime?.propose(buildCommand());
        await clock.tickAsync(COMMIT_MS);
        await proposed;
    }
}

Given("a control group of 3 members that take a snapshot every {int} entries", TIMEOUT, async (every: number) => {
    clock = install({ toFake: FAKED_TIMERS });
    snapshotEvery = every;
    outcome = "";
    group = new ControlGroup({ random: createRandom(SEED), snapshotEvery });
    await group.start();
});

When(
    "the leader is cut off with a proposal under way, the others commit {int} entries and it is connected again",
    TIMEOUT,
    async (count: number) => {
        const former = await findLeader();
        group.rule = (from, to) => from === former.id || to === former.id ? [] : [1];
        former.runtime?.propose(buildCommand()).then(() => outcome = "committed", error => outcome = String(error));
        const leader = await findLeader(former.id);
        await commitEntries(leader, committed => committed === count);
        group.rule = () => [1];
        await clock.tickAsync(ELECTION_MS);
        ok((former.runtime?.getAppliedIndex() ?? 0) > count);
    },
);

Then("the proposal has ended with the error {string}", (text: string) => match(outcome, new RegExp(text)));

When(
    "the leader takes a snapshot while a change of members is not committed, and another leader replaces it",
    TIMEOUT,
    async () => {
        const former = await findLeader();
        const { runtime } = former;
        ok(runtime !== undefined);
        await commitEntries(former, () => runtime.getAppliedIndex() === snapshotEvery - 1);
        const members = [...runtime.getMembers(), ADDED_MEMBER];
        group.rule = (_from, _to, message) =>
            message.kind === "append" && message.entries.some(entry => entry.payload.kind === "members") ? [] : [1];
        runtime.propose(buildCommand()).catch(() => undefined);
        setImmediate(() => void runtime.proposeMembers(members).catch(() => undefined));
        await clock.tickAsync(COMMIT_MS);
        deepStrictEqual([runtime.getAppliedIndex(), runtime.getMembers()], [snapshotEvery, members]);
        group.kill(former.id, 0);
        group.rule = () => [1];
        await commitEntries(await findLeader(former.id), committed => committed === 1);
        await group.startMember(former.id);
        await clock.tickAsync(ELECTION_MS);
    },
);

Then("every member knows the {int} members after a restart", TIMEOUT, async (count: number) => {
    for (const id of group.members.keys()) {
        group.kill(id, 0);
        await group.startMember(id);
        const { runtime } = group.getMember(id);
        deepStrictEqual([id, runtime?.getMembers().length], [id, count]);
    }
});

When(
    "the leader is suspended for {int} s, and answers to what it had sent before arrive",
    TIMEOUT,
    async (seconds: number) => {
        const leader = await findLeader();
        suspended = leader;
        let sentBefore = Number.NEGATIVE_INFINITY;
        group.onSend = (from, _to, message) => {
            if (from === leader.id && message.kind === "append") {
                sentBefore = Math.max(sentBefore, message.sentAt);
            }
        };
        await commitEntries(leader, committed => committed === 1);
        group.onSend = undefined;
        group.rule = (_from, to, message) =>
            to === leader.id && message.kind === "appendAnswer" && message.sentAt > sentBefore ? [] : [1];
        clock.setSystemTime(Date.now() + seconds * MS_PER_SECOND);
        const sent = { kind: "appendAnswer", term: leader.runtime?.getState().hardState.term ?? 0 } as const;
        for (const id of group.members.keys()) {
            if (id !== leader.id) {
                leader.runtime?.receive(id, { ...sent, isAccepted: true, matchIndex: 1, sentAt: sentBefore });
            }
        }
    },
);

Then("it may not serve", () => strictEqual(suspended?.runtime?.canServe(), false));

When("the members answer what it has sent since", TIMEOUT, async () => {
    group.rule = () => [1];
    await clock.tickAsync(COMMIT_MS);
});

Then("it may serve", () => strictEqual(suspended?.runtime?.canServe(), true));
