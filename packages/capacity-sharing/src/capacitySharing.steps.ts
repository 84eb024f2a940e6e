import { Given, Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { CapacitySharing } from "./capacitySharing.js";
import { type AdmissionInput, decideAdmission } from "./decideAdmission.js";
import { computeFractions, type RankFractions } from "./fractions.js";
import { type AdmittedShare, RankedAdmission } from "./rankedAdmission.js";
import { INTERVAL_MS, ReturnSchedule } from "./returnSchedule.js";

const STEP_MS = 100;
const DRAWS = 1000;
const MODEL = { service: "s", model: "m" };

let ranks: RankFractions[] = [];
let input: AdmissionInput;
let schedule: ReturnSchedule;
let room = 0;
let returns: (number | undefined)[] = [];
let admission: RankedAdmission;
let now = 0;

function buildRank(rank: number, works: number[], deviations: number[] = works.map(() => 0)) {
    const accounts = works.map((work, at) => [`a${at}`, { work, deviation: deviations[at] }] as const);
    return { rank, accounts: new Map(accounts) };
}

function listAccounts(): number[] {
    return [...ranks[0].byAccount.values()];
}

function formatAll(values: number[]): string[] {
    return values.map(value => value.toFixed(2));
}

Given(
    "rank 0 offers {int}, rank 1 offers {int} and rank 2 offers {int} by one account each, with capacity for {int}",
    (first: number, second: number, third: number, capacity: number) => {
        const works = [first, second, third];
        const total = works.reduce((sum, work) => sum + work, 0);
        ranks = computeFractions(works.map((work, rank) => buildRank(rank, [work])).reverse(), capacity / total);
    },
);

Then(
    "the admitted fractions of the ranks are {word}, {word} and {word}",
    (first: string, second: string, third: string) => {
        deepStrictEqual(formatAll(ranks.map(({ fraction }) => fraction)), [first.replace(",", ""), second, third]);
    },
);

Given(
    "accounts of one rank offer {int}, {int} and {int}, with capacity for {int}",
    (first: number, second: number, third: number, capacity: number) => {
        ranks = computeFractions([buildRank(0, [first, second, third])], capacity / (first + second + third));
    },
);

Then(
    "the admitted fractions of the accounts are {float}, {float} and {float}",
    (first: number, second: number, third: number) => {
        deepStrictEqual(formatAll(listAccounts()), formatAll([first, second, third]));
    },
);

Given(
    "accounts of one rank offer one request each, of {int}, {int}, {int}, {int} and {int}, with capacity for half",
    (first: number, second: number, third: number, fourth: number, fifth: number) => {
        const works = [first, second, third, fourth, fifth];
        ranks = computeFractions([buildRank(0, works, works)], 0.5);
    },
);

Then("each account is admitted at least {float}", (least: number) => {
    listAccounts().forEach(fraction => ok(fraction >= least, String(listAccounts())));
});

Given(
    "a rank of which {float} is admitted and groups that use {float} of their slots",
    (fraction: number, usedFraction: number) => {
        input = {
            isOverloaded: true,
            fraction,
            overall: 0.5,
            usedFraction,
            groupUsedFraction: usedFraction,
            predictedMs: 100,
            idleMs: 50,
            objectiveMs: 200,
            timeToObjectiveMs: 200,
            timeToAbandonmentMs: 2000,
            hasReserved: false,
            isEarlyReturn: false,
            draw: 0,
        };
    },
);

When("requests that are predicted to be in time are decided with all draws", () => undefined);

Then(/^(all|[\d.]+) of them are admitted$/, (expected: string) => {
    const draws = Array.from({ length: DRAWS }, (_, at) => at / DRAWS);
    const admitted = draws.filter(draw => decideAdmission({ ...input, draw }) === undefined).length;
    strictEqual(admitted / DRAWS, expected === "all" ? 1 : Number(expected));
});

When("they have been refused before and return earlier than they were told", () => input.isEarlyReturn = true);

Then(/^a request that is late (.*) is (sent|not sent)$/, (when: string, decision: string) => {
    const refusal = decideAdmission({
        ...input,
        timeToObjectiveMs: -1,
        isOverloaded: when.startsWith("in overload"),
        idleMs: when.endsWith("size") ? input.objectiveMs + 1 : input.idleMs,
        hasReserved: when.endsWith("as told"),
    });
    strictEqual(refusal === undefined, decision === "sent");
});

Given("room for {int} in each interval of 100 ms", (perInterval: number) => {
    schedule = new ReturnSchedule();
    room = perInterval;
});

When(
    "{int} requests of {int} with {int} ms left are refused at {int} ms",
    (count: number, workMs: number, latestMs: number, at: number) => {
        const request = { workMs, earliestMs: 100, latestMs, predictRoomMs: () => room, random: 0.5 };
        returns = Array.from({ length: count }, () => schedule.schedule(request, at)).map(returnMs =>
            returnMs === undefined ? undefined : at + returnMs
        );
    },
);

Then(
    "no interval has more than {int} returns, and the last of them is after {int} ms",
    (most: number, lastAfter: number) => {
        const counts = new Map<number, number>();
        for (const at of returns) {
            const interval = Math.floor((at ?? 0) / INTERVAL_MS);
            counts.set(interval, (counts.get(interval) ?? 0) + 1);
        }
        strictEqual(Math.max(...counts.values()), most);
        const last = returns.at(-1) ?? 0;
        ok(last > lastAfter && last <= lastAfter + 2 * INTERVAL_MS, `the last returns at ${last}`);
    },
);

Then("{int} of them have no return", (count: number) => {
    strictEqual(returns.filter(at => at === undefined).length, count);
});

Then("returns at {int} ms take precedence {int} times", (at: number, times: number) => {
    strictEqual(Array.from({ length: times + 1 }, () => schedule.takeReturn(10, at)).filter(Boolean).length, times);
});

function offer(perSecond: number, durationMs: number): void {
    for (const end = now + durationMs; now < end; now += STEP_MS) {
        const request = { ...MODEL, rank: 0, account: "a", workMs: perSecond * STEP_MS / 1000, isReturn: false };
        admission.recordOffered(request, now);
    }
}

function computeShare(capacityMs: number): AdmittedShare {
    return admission.computeShare(MODEL.service, MODEL.model, capacityMs, 0, now);
}

Given(
    "a gateway of {int} that offers {int} a second for {int} ms",
    (gateways: number, perSecond: number, durationMs: number) => {
        admission = new RankedAdmission({ countGateways: () => gateways });
        now = 0;
        offer(perSecond, durationMs);
    },
);

Then("it estimates the demand at {int} and its share at {float}", (offeredMs: number, gatewayShare: number) => {
    const share = computeShare(now);
    ok(Math.abs(share.offeredMs - offeredMs) < offeredMs * 0.06, `the demand is ${share.offeredMs}`);
    ok(Math.abs(share.gatewayShare - gatewayShare) < 0.02, `the share is ${share.gatewayShare}`);
});

When("control reports a demand of {int}", (workMs: number) => {
    admission.recordTotals([{ ...MODEL, workMs, requests: 1 }, { ...MODEL, workMs: Number.NaN, requests: 1 }], now);
});

When("{int} ms pass without a report, at the same load", (durationMs: number) => offer(50, durationMs));

Then("a capacity of {int} is not exceeded, and one of {int} is", (enough: number, few: number) => {
    deepStrictEqual([enough, few].map(capacityMs => computeShare(capacityMs).isOverloaded), [false, true]);
});

When("requests of 1000 models, and of 1000 ranks and 1000 accounts of one model, arrive", () => {
    admission = new RankedAdmission({ countGateways: () => 1 });
    const sharing = new CapacitySharing({ countGateways: () => 1 });
    const times = { capacityMs: 1000, excessMs: 0, timeLeftMs: 2000, answerMs: 0, random: 0 };
    for (let at = 0; at < 1000; at++) {
        const request = { service: "s", model: `m${at}`, rank: 0, account: "a", workMs: 1, isReturn: false };
        admission.recordOffered(request, at);
        sharing.scheduleReturn(request, times, at);
        admission.recordOffered({ ...request, ...MODEL, rank: at }, at);
        admission.recordOffered({ ...request, ...MODEL, account: `a${at}` }, at);
    }
    now = 1000;
    strictEqual(sharing.listReturns(now).length, 256);
});

Then(
    "{int} models are known, and {int} ranks of at most {int} accounts",
    (models: number, rankCount: number, accounts: number) => {
        strictEqual(admission.countModels(), models);
        const { ranks: known } = computeShare(1);
        strictEqual(known.length, rankCount);
        known.forEach(({ byAccount }) => ok(byAccount.size <= accounts));
    },
);
