import { After, Before, Given, Then, When } from "@cucumber/cucumber";
import { createLogger } from "@kumquathall/logger";
import { type Command, type ControlAnswer, DrainKind } from "@kumquathall/types";
import { type Clock, install } from "@sinonjs/fake-timers";
import { ok, strictEqual } from "node:assert";
import { LeaderCaller, type LeaderCallerOptions } from "./leaderCaller.js";

const AT = "2026-01-01T00:00:00.000Z";
const EVACUATION: Command = { kind: "drain", operator: "o", target: DrainKind.DataCentre, name: "a", at: AT };
const CLAIM: Command = {
    kind: "ledgerBegin",
    key: "k",
    digest: "d",
    vm: "v",
    incarnation: "i",
    attempt: "1",
    at: AT,
};

/** A member that answers after a time, or never. */
class Member {
    calls = 0;
    answerMs = 1;
    isRefusing = false;
    readonly link = {
        call: (_message: unknown, timeoutMs = 0): Promise<ControlAnswer> => {
            this.calls++;
            return new Promise((resolve, reject) => {
                setTimeout(() => reject(new Error("no answer")), timeoutMs);
                if (Number.isFinite(this.answerMs)) {
                    const result = { kind: "accepted" as const, revision: Number(this.id.slice(1)) };
                    const answer: ControlAnswer = this.isRefusing
                        ? { kind: "notLeader", leader: undefined }
                        : { kind: "result", result };
                    setTimeout(() => resolve(answer), this.answerMs);
                }
            });
        },
    };

    constructor(readonly id: string) {}
}

let clock: Clock;
let members: Map<string, Member>;
let leaderId: string | undefined;
let outcome: { answer: ControlAnswer | undefined; durationMs: number } | undefined;

function getMember(id: string): Member {
    const member = members.get(id);
    ok(member !== undefined);
    return member;
}

Before({ tags: "@leader-caller" }, () => {
    clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
    outcome = undefined;
});

After({ tags: "@leader-caller" }, () => clock.uninstall());

Given(
    /^the members "(.+)" and "(.+)", of which (?:none is known to lead|"(.+)" leads and (is silent|answers after \d+ ms))$/,
    (first: string, second: string, leader: string | null, how: string | null) => {
        members = new Map([first, second].map(id => [id, new Member(id)]));
        leaderId = leader ?? undefined;
        if (leader !== null) {
            getMember(leader).answerMs = Number(/\d+/.exec(how ?? "")?.[0] ?? Number.POSITIVE_INFINITY);
        }
    },
);

Given("{string} is silent", (id: string) => {
    getMember(id).answerMs = Number.POSITIVE_INFINITY;
});

Given("{string} refuses calls", (id: string) => {
    getMember(id).isRefusing = true;
});

function callLeader(command: Command, canSend?: () => boolean): void {
    const caller = new LeaderCaller({
        id: "m0",
        runtime: { getState: () => ({ leaderId }) } as unknown as LeaderCallerOptions["runtime"],
        logger: createLogger({ write: () => undefined }),
        answerLocally: () => Promise.reject(new Error("this member does not lead")),
        getLeaderLink: id => getMember(id).link,
        listLinks: () => [...members.values()].map(member => member.link),
    });
    const finish = (answer?: ControlAnswer) => {
        outcome = { answer, durationMs: performance.now() };
    };
    caller.call({ kind: "propose", command }, undefined, canSend).then(finish, () => finish());
}

When(
    "an evacuation is ordered, and this process stands still for {int} ms while {string} accepts calls again",
    async (ms: number, id: string) => {
        callLeader(EVACUATION);
        // The refusal has been read, and the next attempt is due.
        await clock.tickAsync(5);
        getMember(id).isRefusing = false;
        clock.jump(ms);
        await clock.tickAsync(100);
    },
);

When("an evacuation is ordered, and its caller goes after {int} ms", async (ms: number) => {
    callLeader(EVACUATION, () => performance.now() < ms);
    await clock.tickAsync(2000);
});

When(
    /^(an evacuation is ordered|an idempotency key is claimed)(?:, and "(.+)" leads after (\d+) ms)?$/,
    async (what: string, next: string | null, afterMs: string | null) => {
        callLeader(what === "an evacuation is ordered" ? EVACUATION : CLAIM);
        if (next !== null) {
            setTimeout(() => leaderId = next, Number(afterMs));
        }
        await clock.tickAsync(2000);
    },
);

Then("the order is answered by {string} within {int} ms", (id: string, withinMs: number) => {
    ok(outcome?.answer?.kind === "result" && outcome.answer.result.kind === "accepted", JSON.stringify(outcome));
    strictEqual(`m${outcome.answer.result.revision}`, id);
    ok(outcome.durationMs <= withinMs, `${outcome.durationMs} ms`);
});

Then("the order fails within {int} ms", (withinMs: number) => {
    ok(outcome !== undefined && outcome.answer === undefined, JSON.stringify(outcome));
    ok(outcome.durationMs <= withinMs, `${outcome.durationMs} ms`);
});

Then("{string} got {int} calls and {string} got {int} calls", (
    first: string,
    firstCalls: number,
    second: string,
    secondCalls: number,
) => {
    strictEqual(getMember(first).calls, firstCalls);
    strictEqual(getMember(second).calls, secondCalls);
});
