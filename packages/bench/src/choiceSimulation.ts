import { estimateServiceMs } from "@kumquathall/engine-model";
import { createRandom } from "@kumquathall/matrix";
import type { EngineProfile } from "@kumquathall/types";
import { CHOICE_POLICIES, type ChoicePolicy, REPORT_LAG_MS } from "./choicePolicies.js";
import { SimulatedGroup, type SimulatedRequest } from "./simulatedGroup.js";
import { computePercentile } from "./statistics.js";

export interface ChoiceSimulationOptions {
    policy: string;
    mix: string;
    seed: number;
    groups: number;
    gateways: number;
    /** Offered work relative to what the groups can do. */
    utilization: number;
    durationMs: number;
}

export interface ChoiceSimulationResult {
    /** First events of all and of short requests, in milliseconds. */
    allP50: number;
    shortP50: number;
    shortP95: number;
    longP95: number;
    /** Fraction of requests with a gap between events above the objective. */
    pausedFraction: number;
    preemptions: number;
    /** Median of the difference between actual and predicted first event, and mean of its absolute value; NaN without. */
    biasMs: number;
    errorMs: number;
    requests: number;
}

/** The profile of a deployment's model; times in milliseconds. */
export const SIMULATED_PROFILE: EngineProfile = {
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
    models: [{ name: "m", groupSize: 8, share: 1, pace: 1, loadMs: 16_000, warmMs: 1600 }],
};

interface Mix {
    /** Fraction of requests with ten times the work. */
    longFraction: number;
    /** Offered work at a moment relative to the mean. */
    computeRate: (now: number) => number;
    /** Factor by which a group is slower than its profile. */
    computePace: (group: number) => number;
}

const WAVE_MS = 20_000;
const LONG_FACTOR = 10;
/** Every fourth group is slow. */
const SLOW_INTERVAL = 4;
const SLOW_PACE = 2;
export const CHOICE_MIXES: Record<string, Mix> = {
    "uniform": { longFraction: 0, computeRate: () => 1, computePace: () => 1 },
    "long tenth": { longFraction: 0.1, computeRate: () => 1, computePace: () => 1 },
    "wave": {
        longFraction: 0.1,
        computeRate: now => 1 + 0.5 * Math.sin(now / WAVE_MS * 2 * Math.PI),
        computePace: () => 1,
    },
    "uneven": {
        longFraction: 0.1,
        computeRate: () => 1,
        computePace: group => group % SLOW_INTERVAL === 0 ? SLOW_PACE : 1,
    },
};

/** Hints are off by a factor of two in a third of the requests. */
const HINT_DEVIATION = 0.7;
const LENGTH_DEVIATION = 0.3;
const REPORT_INTERVAL_MS = 100;
const GAP_OBJECTIVE_MS = 200;
/** Requests that arrive in this time, while the groups fill, don't count. */
const WARM_UP_MS = 5000;

/** Runs one policy in virtual time, with late reports and several gateways that know nothing of each other. */
export function runChoiceSimulation(options: ChoiceSimulationOptions): ChoiceSimulationResult {
    const profile = SIMULATED_PROFILE;
    const [model] = profile.models;
    const mix = CHOICE_MIXES[options.mix];
    const draw = createRandom(options.seed);
    const queue = new EventQueue();
    const requests: SimulatedRequest[] = [];
    const groupOf = new Map<SimulatedRequest, number>();
    const paces = Array.from({ length: options.groups }, (_, at) => mix.computePace(at));
    const schedule = (delayMs: number, run: () => void) => queue.schedule(queue.now + delayMs, run);
    const groups = paces.map(pace => new SimulatedGroup(profile, model, pace, schedule, recordEvent));
    const policyDraw = createRandom(options.seed + 1);
    const policies: ChoicePolicy[] = Array.from(
        { length: options.gateways },
        () =>
            new CHOICE_POLICIES[options.policy]({
                profile,
                model,
                groups,
                draw: policyDraw,
                gapObjectiveMs: GAP_OBJECTIVE_MS,
            }),
    );

    function recordEvent(request: SimulatedRequest, isLast: boolean): void {
        request.longestGapMs = Math.max(request.longestGapMs, queue.now - request.lastEventAt);
        request.lastEventAt = queue.now;
        if (request.firstEventAt === undefined) {
            request.firstEventAt = queue.now;
            request.longestGapMs = 0;
        }
        policies[request.gateway].recordEvent?.(request, groupOf.get(request) ?? 0, isLast, queue.now);
        if (isLast) {
            groupOf.delete(request);
        }
    }

    const { usualPromptTokens, usualAnswerTokens } = profile;
    const shortMs = estimateServiceMs(profile, model, usualPromptTokens, usualAnswerTokens);
    const longMs = estimateServiceMs(profile, model, usualPromptTokens * LONG_FACTOR, usualAnswerTokens * LONG_FACTOR);
    const meanMs = shortMs * (1 - mix.longFraction) + longMs * mix.longFraction;
    const perMs = paces.reduce((sum, pace) => sum + 1 / pace, 0) * options.utilization / meanMs;

    function handleArrival(): void {
        const request = createRequest(draw, mix.longFraction, options.gateways, queue.now);
        requests.push(request);
        const policy = policies[request.gateway];
        const group = policy.choose(request, queue.now);
        request.predictedMs = policy.predictedMs;
        groupOf.set(request, group);
        policy.recordSent?.(request, group, queue.now);
        groups[group].submit(request);
        scheduleArrival();
    }

    function scheduleArrival(): void {
        const at = queue.now - Math.log(1 - draw()) / (perMs * mix.computeRate(queue.now));
        if (at < options.durationMs) {
            queue.schedule(at, handleArrival);
        }
    }

    function report(): void {
        const loads = groups.map(group => group.getLoad());
        queue.schedule(queue.now + REPORT_LAG_MS, () => {
            policies.forEach(policy => loads.forEach((load, at) => policy.recordReport?.(at, load, queue.now)));
        });
        if (queue.now < options.durationMs) {
            queue.schedule(queue.now + REPORT_INTERVAL_MS, report);
        }
    }

    scheduleArrival();
    report();
    queue.run();
    const counted = requests.filter(request => request.arrivedAt > WARM_UP_MS);
    return computeResult(counted, groups.reduce((sum, group) => sum + group.preemptions, 0));
}

function computeResult(requests: SimulatedRequest[], preemptions: number): ChoiceSimulationResult {
    const listFirst = (items: SimulatedRequest[]) => items.map(item => (item.firstEventAt ?? 0) - item.arrivedAt);
    const short = listFirst(requests.filter(request => request.isShort));
    const long = listFirst(requests.filter(request => !request.isShort));
    const errors = requests.flatMap(item =>
        item.predictedMs === undefined ? [] : (item.firstEventAt ?? 0) - item.arrivedAt - item.predictedMs
    );
    return {
        biasMs: computePercentile(errors, 0.5),
        errorMs: errors.reduce((sum, error) => sum + Math.abs(error), 0) / errors.length,
        allP50: computePercentile(listFirst(requests), 0.5),
        shortP50: computePercentile(short, 0.5),
        shortP95: computePercentile(short, 0.95),
        longP95: computePercentile(long, 0.95),
        pausedFraction: requests.filter(item => item.longestGapMs > GAP_OBJECTIVE_MS).length / requests.length,
        preemptions,
        requests: requests.length,
    };
}

function createRequest(draw: () => number, longFraction: number, gateways: number, now: number): SimulatedRequest {
    const isShort = draw() >= longFraction;
    const factor = isShort ? 1 : LONG_FACTOR;
    const { usualPromptTokens, usualAnswerTokens } = SIMULATED_PROFILE;
    const promptTokens = Math.round(factor * usualPromptTokens * Math.exp(LENGTH_DEVIATION * pickNormal(draw)));
    const answerTokens = Math.ceil(factor * usualAnswerTokens * Math.exp(LENGTH_DEVIATION * pickNormal(draw)));
    return {
        gateway: Math.floor(draw() * gateways),
        isShort,
        promptTokens,
        answerTokens,
        answerTokensHint: Math.ceil(answerTokens * Math.exp(HINT_DEVIATION * pickNormal(draw))),
        arrivedAt: now,
        predictedMs: undefined,
        promptLeft: promptTokens,
        emittedTokens: 0,
        firstEventAt: undefined,
        lastEventAt: now,
        longestGapMs: 0,
    };
}

/** Draws from the standard normal distribution. */
function pickNormal(draw: () => number): number {
    return Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
}

/** Runs functions at their virtual times, in milliseconds. */
class EventQueue {
    now = 0;
    /** Binary heap by time, then by order of scheduling. */
    private readonly heap: { at: number; order: number; run: () => void }[] = [];
    private order = 0;

    schedule(at: number, run: () => void): void {
        const { heap } = this;
        let index = heap.push({ at, order: this.order++, run }) - 1;
        while (index > 0 && this.isBefore(index, (index - 1) >> 1)) {
            const parent = (index - 1) >> 1;
            [heap[index], heap[parent]] = [heap[parent], heap[index]];
            index = parent;
        }
    }

    run(): void {
        const { heap } = this;
        while (heap.length > 0) {
            const [next] = heap;
            [heap[0], heap[heap.length - 1]] = [heap[heap.length - 1], heap[0]];
            heap.pop();
            this.settle();
            this.now = next.at;
            next.run();
        }
    }

    /** Moves the first event down to its place. */
    private settle(): void {
        const { heap } = this;
        let index = 0;
        for (;;) {
            const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length);
            const least = children.reduce((first, child) => this.isBefore(child, first) ? child : first, index);
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least], heap[index]];
            index = least;
        }
    }

    private isBefore(left: number, right: number): boolean {
        const [a, b] = [this.heap[left], this.heap[right]];
        return a.at < b.at || (a.at === b.at && a.order < b.order);
    }
}
