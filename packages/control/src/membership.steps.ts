import { Given, Then, When } from "@cucumber/cucumber";
import { isFleetSettled } from "@kumquathall/engine-groups";
import { MemoryDisk } from "@kumquathall/storage";
import { deepStrictEqual, match, strictEqual } from "node:assert";
import type { FoundingSettings } from "./controlSettings.js";
import { JoinerQueue } from "./joinerQueue.js";
import { type MemberIdentity, readFoundingIdentity } from "./memberIdentity.js";
import { MemberSilence } from "./memberSilence.js";
import { computeGroupSize, type MembershipPlan, planMembership } from "./planMembership.js";
import { RecentCommits } from "./recentCommits.js";

const UNRESPONSIVE_MS = 10_000;
const TICK_MS = 100;

let disk: MemoryDisk;
let listen: string;
let founding: FoundingSettings;
let identity: MemberIdentity;
let plan: MembershipPlan;
let settled = false;
let silence: MemberSilence;
let joiners: JoinerQueue;
let commits: RecentCommits;
let now = 0;

Given(
    "an empty disk at {string}, a {word} start and the seeds {string}",
    (address: string, which: string, seeds: string) => {
        disk = new MemoryDisk();
        listen = address;
        founding = { seeds: seeds.split(","), isFirstStart: which === "first", targetMembers: 5 };
    },
);

When("the process reads its identity", async () => {
    identity = await readFoundingIdentity(disk, listen, founding);
});

When("the process reads its identity at a later start", async () => {
    identity = await readFoundingIdentity(disk, listen, { ...founding, isFirstStart: false });
});

Then("its id is {string} and it knows {int} founding members", (id: string, count: number) => {
    strictEqual(identity.id, id);
    strictEqual(identity.members.length, count);
});

Then("it has a new id at {string} and knows no members", (address: string) => {
    match(identity.id, new RegExp(`^${address.replaceAll(".", "\\.")}#.+`));
    deepStrictEqual(identity.members, []);
});

Given(
    "{int} endpoints of which {int} have a linked sidecar, the newest seen {int} ms ago and the first {int} ms",
    (count: number, linked: number, newestMs: number, firstMs: number) => {
        const now = 10_000;
        const views = Array.from({ length: count }, (_, at) => ({
            id: `e${at}`,
            service: "s",
            address: `e${at}`,
            dataCentre: "d",
            slots: 1,
            bornMs: 1,
            isLeaving: false,
            isLost: false,
            isLossAnnounced: false,
            hasProcessEnded: false,
            engine: undefined,
            lastSeenAt: now,
            heartbeatAt: now,
            engineReportedAt: now,
            isObserved: at < linked,
            lastGroupName: undefined,
        }));
        settled = isFleetSettled({ views, now, firstSeenAt: now - firstMs, newestFirstSeenAt: now - newestMs });
    },
);

Then("the fleet is settled: {word}", (expected: string) => strictEqual(settled ? "yes" : "no", expected));

Given(
    "the members {string}, of which {string} does not answer, a target of {int} and the joiner {string}",
    (members: string, unresponsive: string, targetMembers: number, joiner: string) =>
        planChange({ members, unresponsive, targetMembers, joiners: joiner, copies: joiner }),
);

Given(
    "the members {string}, of which {string} does not answer, a target of 5 and the joiners {string}, of which {string} hold a copy",
    (members: string, unresponsive: string, joiners: string, copies: string) =>
        planChange({ members, unresponsive, targetMembers: 5, joiners, copies }),
);

function planChange(group: {
    members: string;
    unresponsive: string;
    targetMembers: number;
    joiners: string;
    copies: string;
}): void {
    const unresponsive = group.unresponsive.split(",");
    plan = planMembership({
        members: group.members.split(","),
        self: "a:1",
        joiners: group.joiners.split(","),
        hasCopy: joiner => group.copies.split(",").includes(joiner),
        getSilenceMs: process => unresponsive.includes(process) ? UNRESPONSIVE_MS + unresponsive.indexOf(process) : 0,
        targetMembers: group.targetMembers,
    });
}

Then("the next change is {string}", (expected: string) => {
    strictEqual(plan.change === undefined ? "" : `${plan.change.kind} ${plan.change.member}`, expected);
});

Then("the log is sent to the joiners {string}", (expected: string) => strictEqual(plan.learners.join(), expected));

/** Lets time pass for a leader that sends to some processes. */
function sendFor(receivers: string, seconds: number): void {
    for (const endsAt = now + seconds * 1000; now < endsAt;) {
        now += TICK_MS;
        silence.update(now, receivers.split(","));
    }
}

Given("a leader that has sent to {string} for {int} s", (receivers: string, seconds: number) => {
    now = 0;
    silence = new MemberSilence();
    sendFor(receivers, seconds);
});

When("it sends to {string} for {int} s", (receivers: string, seconds: number) => sendFor(receivers, seconds));

When("it is suspended for {int} s", (seconds: number) => {
    now += seconds * 1000;
});

When("it is replaced, and leads again after {int} s", (seconds: number) => {
    silence.clear();
    now += seconds * 1000;
});

Then(
    "{string}, which last answered {int} s ago, has been silent for {int} s",
    (process: string, answeredS: number, silentS: number) => {
        strictEqual(Math.round(silence.compute(now, process, now - answeredS * 1000) / 1000), silentS);
    },
);

Then("{string}, which has never answered, has been silent for {int} s", (process: string, silentS: number) => {
    strictEqual(Math.round(silence.compute(now, process, undefined) / 1000), silentS);
});

Given("a leader that commits an entry every {int} ms for {int} s", (everyMs: number, seconds: number) => {
    commits = new RecentCommits();
    for (now = 0; now <= seconds * 1000; now += TICK_MS) {
        commits.record(now, Math.floor(now / everyMs));
    }
});

Then("a joiner that lacks the newest {int} entries holds a copy: {word}", (lacking: number, expected: string) => {
    const newest = Math.floor((now - TICK_MS) / TICK_MS);
    strictEqual(newest - lacking >= commits.getEarlierIndex() ? "yes" : "no", expected);
});

Given("the joiners {string}, which ask again and again", (members: string) => {
    now = 0;
    joiners = new JoinerQueue();
    members.split(",").forEach(member => joiners.record(member, now));
});

When("{string} have been learners for {int} s", (learners: string, seconds: number) => {
    for (const endsAt = now + seconds * 1000; now < endsAt;) {
        now += TICK_MS;
        const listed = joiners.list(now);
        listed.forEach(member => joiners.record(member, now));
        joiners.markLearners(learners.split(","), now);
    }
});

When("{string} asks to join", (member: string) => joiners.record(member, now));

When("no joiner has asked for {int} s", (seconds: number) => {
    now += seconds * 1000;
});

Then("the joiners are tried in the order {string}", (expected: string) => {
    strictEqual(joiners.list(now).join(), expected);
});

Given("the seeds {string} and a target of {int}", (seeds: string, targetMembers: number) => {
    founding = { seeds: seeds.split(","), isFirstStart: true, targetMembers };
});

Then("the group has {int} members", (count: number) => strictEqual(computeGroupSize(founding), count));
