import { Given, Then } from "@cucumber/cucumber";
import type { EngineProfile } from "@kumquathall/types";
import { ok } from "node:assert";
import {
    type GroupLoad,
    type GroupRequest,
    isMemoryExceeded,
    predictEventGapMs,
    predictFirstEventMs,
} from "./predict.js";

const PROFILE: EngineProfile = {
    slots: 34,
    kvCapacityTokens: 1_700_000,
    stride: 5,
    stepMs: 6.45,
    perSequenceMs: 0.1365,
    contextMsPerThousand: 0.0041,
    prefillTokensPerSecond: 56_100,
    pairsMsPerMillion: 0.309,
    prefillChunkTokens: 2048,
    loadsPerSecond: 3,
    maxConcurrentLoads: 6,
    usualPromptTokens: 1042,
    usualAnswerTokens: 131,
    formationMs: 300,
    models: [{ name: "m", groupSize: 6, share: 1, pace: 1, loadMs: 16_000, warmMs: 1600 }],
};
const [MODEL] = PROFILE.models;
const PROMPT_TOKENS = 1000;

let requests: GroupRequest[] = [];
let pace = 1;
let lastPrompt = 0;

function buildLoad(): GroupLoad {
    return {
        running: requests.filter(request => request.pendingPromptTokens === 0).length,
        waiting: requests.filter(request => request.pendingPromptTokens > 0).length,
        pendingPrefillTokens: 0,
        kvUsedTokens: requests.reduce((sum, request) => sum + request.contextTokens, 0),
        pace,
        requests,
    };
}

function setRunning(count: number, remainingTokens: number, contextTokens: number): void {
    pace = 1;
    requests = Array.from(
        { length: count },
        () => ({ remainingTokens, contextTokens, pendingPromptTokens: 0, priority: undefined }),
    );
}

function checkBetween(value: number, min: number, max: number): void {
    ok(value >= min && value <= max, `${value}`);
}

Given(
    "a group whose {int} slots run requests with {int} tokens left",
    (count: number, tokens: number) => setRunning(count, tokens, PROMPT_TOKENS),
);

Given("{int} requests of priority {int} wait there", (count: number, priority: number) => {
    const waiting = { remainingTokens: 500, contextTokens: 0, pendingPromptTokens: PROMPT_TOKENS, priority };
    requests.push(...Array.from({ length: count }, () => waiting));
});

Given("a group that runs {int} requests with {int} tokens left and {int} tokens of context each", setRunning);

Given(
    "a group that runs {int} requests with {int} tokens left and {int} tokens of context each, at a pace of {int}",
    (count: number, tokens: number, context: number, factor: number) => {
        setRunning(count, tokens, context);
        pace = factor;
    },
);

Then(
    /^the first event of another request(?: of priority (\d+))?(?: of (\d+) tokens)? is predicted between (\d+) and (\d+) ms$/,
    (priority: string | null, prompt: string | null, min: string, max: string) => {
        lastPrompt = Number(prompt ?? PROMPT_TOKENS);
        const request = priority === null ? {} : { priority: Number(priority) };
        const predictedMs = predictFirstEventMs(PROFILE, MODEL, buildLoad(), lastPrompt, request);
        checkBetween(predictedMs, Number(min), Number(max));
    },
);

Then("the request would exceed the memory", () => ok(isMemoryExceeded(PROFILE, buildLoad(), lastPrompt, 1)));

Then(
    "a request of {int} tokens gives gaps between {int} and {int} ms",
    (prompt: number, min: number, max: number) =>
        checkBetween(predictEventGapMs(PROFILE, MODEL, buildLoad(), prompt), min, max),
);
