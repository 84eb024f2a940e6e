import { Given, Then, When } from "@cucumber/cucumber";
import { ok, strictEqual } from "node:assert";
import { EndpointWork } from "./endpointWork.js";
import { computeMean, computeRemaining } from "./logNormal.js";
import { type GenerationTraits, RequestCostEstimator } from "./requestCostEstimator.js";

const USUAL = { usualPromptTokens: 1000, usualAnswerTokens: 100 };
const TYPICAL = { promptTokens: 1000, answerTokens: 100, remainingTokens: 50 };
const COST = {
    promptTokens: 1000,
    answer: { logMean: Math.log(100), logDeviation: 0.5 },
    maxAnswerTokens: 1000,
    answerTokens: 113,
};
const PLAIN = { route: "r", method: "POST", account: undefined, bodyBytes: 100 };
const INCARNATION = 1;
const LAG_MS = 200;

let estimator = new RequestCostEstimator();
let work = new EndpointWork<object>(INCARNATION);
const request = {};

function buildTraits(hint: number | undefined, account?: string, max?: number): GenerationTraits {
    return {
        service: "s",
        model: "m",
        route: "r",
        account,
        promptTokens: 1000,
        maxAnswerTokens: max,
        answerTokensHint: hint,
    };
}

function recordAnswers(count: number, range: [number, number], hints: [number, number], account?: string): void {
    for (let at = 0; at < count; at++) {
        // Lengths and hints run through their ranges at rates that don't agree.
        const tokens = range[0] + (range[1] - range[0]) * (at * 7 % 10) / 9;
        const hint = hints[0] + (hints[1] - hints[0]) * (at * 3 % 13) / 12;
        estimator.recordGeneration(buildTraits(hint, account), tokens, USUAL, at);
    }
}

function checkMean(hint: number, account: string | undefined, min: number, max: number): void {
    const { answerTokens } = estimator.estimateGeneration(buildTraits(hint, account), USUAL, 0);
    ok(answerTokens >= min && answerTokens <= max, `${answerTokens}`);
}

function report(receivedAt: number, incarnation: number, running: number): void {
    work.recordReport({ incarnation, receivedAt, lagMs: LAG_MS, running, waiting: 0, kvUsedTokens: 0 });
}

Then(
    /^a generation (?:with the hint (\d+)|without a hint) is estimated at a median of (\d+) tokens$/,
    (hint: string | null, median: string) => {
        estimator = new RequestCostEstimator();
        const traits = buildTraits(hint === null ? undefined : Number(hint));
        strictEqual(
            Math.round(Math.exp(estimator.estimateGeneration(traits, USUAL, 0).answer.logMean)),
            Number(median),
        );
    },
);

Then(
    "a generation with the hint {int} and a maximum of {int} is estimated at {int} tokens at most",
    (hint: number, max: number, most: number) => {
        ok(estimator.estimateGeneration(buildTraits(hint, undefined, max), USUAL, 0).answerTokens <= most);
    },
);

Given(
    "{int} answers of {int} to {int} tokens on a route, with hints of {int} to {int}",
    (count: number, min: number, max: number, low: number, high: number) => {
        recordAnswers(count, [min, max], [low, high]);
    },
);

Given(
    "{int} answers of {int} to {int} tokens of account {string}, with hints of {int} to {int}",
    (count: number, min: number, max: number, account: string, low: number, high: number) => {
        recordAnswers(count, [min, max], [low, high], account);
    },
);

Then(
    "a generation with the hint {int} is estimated at a mean of {int} to {int} tokens",
    (hint: number, min: number, max: number) => checkMean(hint, undefined, min, max),
);

Then(
    "a generation of account {string} with the hint {int} is estimated at a mean of {int} to {int} tokens",
    (account: string, hint: number, min: number, max: number) => checkMean(hint, account, min, max),
);

Given("an answer of each of {int} accounts, with counts of 0 to 999999999", (accounts: number) => {
    for (let at = 0; at < accounts; at++) {
        const count = at % 2 === 0 ? 0 : 999_999_999;
        const traits = { ...buildTraits(count, `a${at}`, count), promptTokens: count };
        estimator.recordGeneration(traits, count, USUAL, at);
        const { answerTokens, promptTokens } = estimator.estimateGeneration(traits, USUAL, at);
        ok(Number.isFinite(answerTokens) && answerTokens > 0 && Number.isFinite(promptTokens));
    }
});

Then("at most {int} histories are kept and all estimates are finite", (most: number) => {
    ok(estimator.countHistories() <= most);
    ok(Number.isFinite(estimator.estimateTypical({ service: "s", model: "m" }, USUAL).remainingTokens));
});

Given(
    /^(\d+) plain requests of (\d+) ms( that found no slot free)?$/,
    (count: string, ms: string, waited: string | null) => {
        for (let at = 0; at < Number(count); at++) {
            estimator.recordPlain(PLAIN, Number(ms), waited === null, at);
        }
    },
);

Then("a plain request is estimated at {int} to {int} ms", (min: number, max: number) => {
    const { ms } = estimator.estimatePlain(PLAIN, 100);
    ok(ms >= min && ms <= max, `${ms}`);
});

Given("an endpoint whose report of time {int} states {int} running requests", (time: number, running: number) => {
    work = new EndpointWork(INCARNATION);
    report(time, INCARNATION, running);
});

When("a report of time {int} and incarnation {int} states {int} running requests", report);

Then(
    "{int} requests count as running there",
    (expected: number) => strictEqual(work.estimateGroup(TYPICAL).running, expected),
);

Given(
    "an endpoint with a request sent at {int}, one sent at {int} that ended at {int}, and two sent at {int}",
    (first: number, second: number, endedAt: number, third: number) => {
        work = new EndpointWork(INCARNATION);
        const requests = [first, second, third, third].map(sentAt => ({ sentAt }));
        requests.forEach(item => work.addGeneration(item, COST, 1, 0, item.sentAt));
        work.remove(requests[1], endedAt);
    },
);

Then("{int} requests count as being there, {int} of them of others", (total: number, others: number) => {
    const { running, waiting, requests } = work.estimateGroup(TYPICAL);
    strictEqual(running + waiting, total);
    strictEqual(requests.length - work.countOwn(), others);
});

Then(
    "the first of them has at most {int} of {int} tokens left, and all together {int} to {int} on average",
    (most: number, remainingTokens: number, min: number, max: number) => {
        const left = work.estimateGroup({ ...TYPICAL, remainingTokens }).requests.map(item => item.remainingTokens);
        const mean = left.reduce((sum, tokens) => sum + tokens, 0) / left.length;
        ok(Math.min(...left) <= most);
        ok(mean >= min && mean <= max, `${mean}`);
    },
);

Given("an endpoint with a request of about 100 tokens", () => {
    work = new EndpointWork(INCARNATION);
    work.addGeneration(request, COST, 1, 0, 0);
});

Then("after {int} tokens, {int} to {int} tokens remain", (done: number, min: number, max: number) => {
    work.recordProgress(request, done);
    const [{ remainingTokens }] = work.estimateGroup(TYPICAL).requests;
    ok(remainingTokens >= min && remainingTokens <= max, `${remainingTokens}`);
    strictEqual(remainingTokens, computeRemaining(COST.answer, done, COST.maxAnswerTokens));
    ok(remainingTokens + done > computeMean(COST.answer) - 1);
});

Then("after its end, no request is left there", () => {
    work.remove(request, 1);
    strictEqual(work.estimateGroup(TYPICAL).requests.length, 0);
});

Given("a plain endpoint whose response at {int} states {int} requests", (receivedAt: number, running: number) => {
    work = new EndpointWork(INCARNATION);
    work.recordReport({ incarnation: INCARNATION, receivedAt, lagMs: 0, running, waiting: 0, kvUsedTokens: 0 });
});

Then(
    "with requests of {int} ms, its remaining work is {int} ms at {int} and at most {int} ms at {int}",
    (requestMs: number, ms: number, at: number, most: number, later: number) => {
        strictEqual(Math.round(work.estimatePlainMs(requestMs, at)), ms);
        ok(work.estimatePlainMs(requestMs, later) <= most);
    },
);
