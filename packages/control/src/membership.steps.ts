import { Given, Then, When } from "@cucumber/cucumber";
import { MemoryDisk } from "@kumquathall/storage";
import { deepStrictEqual, match, strictEqual } from "node:assert";
import type { FoundingSettings } from "./controlSettings.js";
import { type MemberIdentity, readFoundingIdentity } from "./memberIdentity.js";
import { type MemberChange, planMembership } from "./planMembership.js";
import { isFleetSettled } from "./settling.js";

const LONG_SILENCE_MS = 10_000;

let disk: MemoryDisk;
let listen: string;
let founding: FoundingSettings;
let identity: MemberIdentity;
let change: MemberChange | undefined;
let settled = false;

Given(
    "a disk that is empty at {string}, a {word} start and the seeds {string}",
    (address: string, which: string, seeds: string) => {
        disk = new MemoryDisk();
        listen = address;
        founding = { seeds: seeds.split(","), isFirstStart: which === "first", targetMembers: 5 };
    },
);

When("the process reads its identity", async () => {
    identity = await readFoundingIdentity(disk, listen, founding);
});

When("it starts again, not for the first time", async () => {
    identity = await readFoundingIdentity(disk, listen, { ...founding, isFirstStart: false });
});

Then("it is {string} among {int} founding members", (id: string, count: number) => {
    strictEqual(identity.id, id);
    strictEqual(identity.members.length, count);
});

Then("it is someone new at {string} without members", (address: string) => {
    match(identity.id, new RegExp(`^${address.replaceAll(".", "\\.")}#.+`));
    deepStrictEqual(identity.members, []);
});

Given(
    "{int} endpoints of which {int} have a sidecar that has linked, the newest heard {int} ms ago and the first {int} ms",
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
            engine: undefined,
            lastSeenAt: now,
            engineReportedAt: now,
            isObserved: at < linked,
            lastGroupName: undefined,
        }));
        settled = isFleetSettled({ views, now, firstHeardAt: now - firstMs, newestHeardAt: now - newestMs });
    },
);

Then("the fleet is settled: {word}", (expected: string) => strictEqual(settled ? "yes" : "no", expected));

Given(
    "the members {string}, of which {string} is silent, a target of {int} and the joiner {string}",
    (members: string, silent: string, targetMembers: number, joiner: string) => {
        change = planMembership({
            members: members.split(","),
            self: "a:1",
            joiners: [joiner],
            silentMs: member => member === silent ? LONG_SILENCE_MS : 0,
            targetMembers,
        });
    },
);

Then("the next change is {string}", (expected: string) => {
    strictEqual(change === undefined ? "" : `${change.kind} ${change.member}`, expected);
});
