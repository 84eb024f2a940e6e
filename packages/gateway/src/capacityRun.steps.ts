import { Given, Then, When } from "@cucumber/cucumber";
import { createRandom } from "@kumquathall/load";
import { ok, strictEqual } from "node:assert";
import { CapacityRun, type CapacityRunOptions, type SimulatedRequest } from "./testing/capacityRun.js";

const PROFILE = {
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
const GROUPS = 12;
const OBJECTIVE_MS = 400;
/** Parts of the load by rank. */
const URGENT = [0.8, 0.12, 0.08];
const MIXED = [0.3, 0.2, 0.35];
const SEEDS = [1, 2, 3];
/** Callers need each part to be served a quarter as often as all, and the largest tenth half as often as its class. */
const LEAST_PART = 0.25;
const LEAST_LARGEST = 0.5;
/** Difference by which a less urgent class may be served more often. */
const MARGIN = 0.05;

type LoadPattern = Partial<CapacityRunOptions> & Pick<CapacityRunOptions, "classes">;

function buildClasses(
    parts: number[],
    getFactor: (now: number, rank: number) => number,
    chooseAccount = (random: number) => `a${Math.floor(random * 8)}`,
): CapacityRunOptions["classes"] {
    return parts.map((part, rank) => ({
        priority: rank,
        objectiveMs: OBJECTIVE_MS,
        getLoad: now => part * getFactor(now, rank),
        chooseAccount,
    }));
}

const LOSS = { classes: buildClasses(URGENT, () => 0.85), groupsLeft: 8, loseAt: 8000 };
const PATTERNS: Record<string, LoadPattern> = {
    "0.7 of the capacity": { classes: buildClasses(URGENT, () => 0.7) },
    "burst of 1.8 times the most urgent rank over 4 s": {
        classes: buildClasses(URGENT, (now, rank) => rank === 0 && now >= 6000 && now < 10_000 ? 1.44 : 0.8),
    },
    "wave with its crest at 1.3 of the capacity": {
        classes: buildClasses(URGENT, now => 0.85 + 0.45 * Math.sin(now / 20_000 * 2 * Math.PI)),
    },
    "loss of a third of the groups at 0.85 of the capacity": LOSS,
    "loss of a third of the groups, without totals from control": { ...LOSS, hasTotals: false },
    "one account that offers most of 1.3 of the capacity": {
        classes: buildClasses(URGENT, () => 1.3, random => random < 0.75 ? "large" : `a${Math.floor(random * 28)}`),
    },
    "burst of 2.4 times the least urgent rank over 6 s": {
        classes: buildClasses(MIXED, (now, rank) => rank === 2 && now >= 6000 && now < 12_000 ? 2.4 : 1),
    },
};

let pattern: LoadPattern;
let shared: SimulatedRequest[] = [];
let former: SimulatedRequest[] = [];
let lines: string[] = [];

function run(isShared: boolean, obedience: number): SimulatedRequest[] {
    return SEEDS.flatMap(seed => {
        const capacityRun = new CapacityRun({
            profile: PROFILE,
            gateways: 4,
            groups: GROUPS,
            groupsLeft: GROUPS,
            loseAt: -1,
            durationMs: 20_000,
            hasTotals: true,
            isShared,
            obedience,
            random: createRandom(seed),
            ...pattern,
        });
        const requests = capacityRun.run();
        lines.push(...capacityRun.lines);
        return requests;
    });
}

function computeInTime(requests: SimulatedRequest[]): number {
    return requests.filter(request => request.isOnTime && request.isServed).length / requests.length;
}

function listParts<Key>(
    requests: SimulatedRequest[],
    getKey: (request: SimulatedRequest) => Key,
): SimulatedRequest[][] {
    return [...new Set(requests.map(getKey))].sort().map(key => requests.filter(request => getKey(request) === key));
}

function countRefusedAgain(requests: SimulatedRequest[]): number {
    return requests.reduce((sum, { refusals }) => sum + Math.max(0, refusals - 1), 0);
}

Given("load pattern {string}", (name: string) => pattern = PATTERNS[name]);

When(
    /^it runs with admission by rank and by first event only, and callers (return as told|mostly return early)$/,
    (manner: string) => {
        lines = [];
        const obedience = manner === "return as told" ? 1 : 0.4;
        former = run(false, obedience);
        shared = run(true, obedience);
    },
);

Then("no request is refused for its rank or account", () => {
    strictEqual(lines.filter(line => /overloaded=true|aboveShare=[1-9]/.test(line)).length, 0);
});

Then(
    "rank 0 is served in time at least {float} more often than by first event only",
    (more: number) => {
        const [now, before] = [shared, former].map(requests =>
            computeInTime(requests.filter(({ priority }) => priority === 0))
        );
        ok(now >= before + more, `${now} with, ${before} without admission by rank`);
    },
);

Then("no rank is served in time less often than a less urgent one", () => {
    const parts = listParts(shared, ({ priority }) => priority).map(computeInTime);
    parts.slice(1).forEach((part, at) => ok(part <= parts[at] + MARGIN, String(parts)));
});

Then("each rank, account and largest tenth gets its least part", () => {
    const all = computeInTime(shared);
    const ranks = listParts(shared, ({ priority }) => priority);
    for (const part of [...ranks, ...listParts(shared, ({ account }) => account)]) {
        ok(computeInTime(part) >= LEAST_PART * all, `${computeInTime(part)} of ${all}`);
    }
    const getSize = ({ promptTokens, answerTokens }: SimulatedRequest) => promptTokens + 10 * answerTokens;
    // The two less urgent ranks are small, so their largest tenths are counted together.
    for (const part of listParts(shared, ({ priority }) => Math.min(priority, 1))) {
        const sorted = [...part].sort((left, right) => getSize(right) - getSize(left));
        const largest = computeInTime(sorted.slice(0, Math.ceil(part.length / 10)));
        ok(largest >= LEAST_LARGEST * computeInTime(part), `${largest} of ${computeInTime(part)}`);
    }
});

Then("requests are refused again at most {float} times as often as by first event only", (part: number) => {
    const counts = [shared, former].map(countRefusedAgain);
    ok(counts[0] <= part * counts[1], `${counts[0]} with, ${counts[1]} without admission by rank`);
});
