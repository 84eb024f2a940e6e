import { estimateAdditionMs, type GroupLoad } from "@kumquathall/engine-model";
import { chooseReplicaGroup, type ReplicaGroupCandidate } from "@kumquathall/gateway";
import { computeSpreadMs, EndpointWork, type GenerationTraits, RequestCostEstimator } from "@kumquathall/request-cost";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";
import type { SimulatedGroup, SimulatedLoad, SimulatedRequest } from "./simulatedGroup.js";

export interface ChoicePolicyOptions {
    profile: EngineProfile;
    model: EngineModelProfile;
    groups: readonly SimulatedGroup[];
    draw: () => number;
    gapObjectiveMs: number;
}

/** Choice of a group by one gateway, with what that gateway observes. */
export abstract class ChoicePolicy {
    constructor(protected readonly options: ChoicePolicyOptions) {}

    /** Predicted first event of the latest choice, in milliseconds; `undefined` if the policy predicts none. */
    predictedMs: number | undefined;

    /** Chooses the index of a group. */
    abstract choose(request: SimulatedRequest, now: number): number;
    recordSent?(request: SimulatedRequest, group: number, now: number): void;
    recordEvent?(request: SimulatedRequest, group: number, isLast: boolean, now: number): void;
    recordReport?(group: number, load: SimulatedLoad, now: number): void;

    /** Chooses the group with the least load, at random among equals. */
    protected pickLeast(indexes: number[], computeLoad: (group: number) => number): number {
        const loads = indexes.map(computeLoad);
        const least = loads.reduce((first, load) => Math.min(first, load), Number.POSITIVE_INFINITY);
        const equal = indexes.filter((_, at) => loads[at] === least);
        return equal[Math.floor(this.options.draw() * equal.length)];
    }

    protected listIndexes(): number[] {
        return this.options.groups.map((_, at) => at);
    }

    /** Chooses as a gateway does, without refusing. */
    protected chooseByPrediction(
        request: SimulatedRequest,
        candidates: ReplicaGroupCandidate[],
        cost: { answerTokens?: number; gapObjectiveMs?: number } = {},
    ): number {
        const choose = (timeToObjectiveMs: number) =>
            chooseReplicaGroup({
                ...cost,
                profile: this.options.profile,
                model: this.options.model,
                promptTokens: request.promptTokens,
                candidates,
                firstEventBiasMs: 0,
                timeToObjectiveMs,
                timeToAbandonmentMs: Number.POSITIVE_INFINITY,
                random: 0,
            });
        const onTime = choose(OBJECTIVE_MS);
        const choice = onTime.kind === "send" ? onTime : choose(Number.POSITIVE_INFINITY);
        this.predictedMs = choice.kind === "send" ? choice.predictedMs : undefined;
        return choice.kind === "send" ? Number(choice.endpointId) : 0;
    }
}

class RandomPolicy extends ChoicePolicy {
    override choose(): number {
        return Math.floor(this.options.draw() * this.options.groups.length);
    }
}

class RoundRobinPolicy extends ChoicePolicy {
    private next = Math.floor(this.options.draw() * this.options.groups.length);

    override choose(): number {
        this.next = (this.next + 1) % this.options.groups.length;
        return this.next;
    }
}

/** Counts what this gateway has in flight. */
abstract class InFlightPolicy extends ChoicePolicy {
    protected readonly inFlight = this.options.groups.map(() => new Set<SimulatedRequest>());

    override recordSent(request: SimulatedRequest, group: number): void {
        this.inFlight[group].add(request);
    }

    override recordEvent(request: SimulatedRequest, group: number, isLast: boolean): void {
        if (isLast) {
            this.inFlight[group].delete(request);
        }
    }
}

class LeastInFlightPolicy extends InFlightPolicy {
    override choose(): number {
        return this.pickLeast(this.listIndexes(), group => this.inFlight[group].size);
    }
}

class TwoChoicesPolicy extends InFlightPolicy {
    override choose(): number {
        const draws = [0, 1].map(() => Math.floor(this.options.draw() * this.options.groups.length));
        return this.pickLeast(draws, group => this.inFlight[group].size);
    }
}

class LeastReportedPolicy extends ChoicePolicy {
    private readonly reported = this.options.groups.map(() => 0);

    override choose(): number {
        return this.pickLeast(this.listIndexes(), group => this.reported[group]);
    }

    override recordReport(group: number, { running, waiting }: SimulatedLoad): void {
        this.reported[group] = running + waiting;
    }
}

/** Choice before requests' work was estimated: reports corrected by counts of requests sent and ended since. */
class CountPolicy extends InFlightPolicy {
    private readonly reports = this.options.groups.map(() => ({
        load: { running: 0, waiting: 0, kvUsedTokens: 0 },
        sentSince: 0,
        endedSince: 0,
    }));

    override choose(request: SimulatedRequest): number {
        const candidates = this.listIndexes().map(group => ({
            endpointId: String(group),
            load: this.estimateLoad(group),
            failureScore: 0,
        }));
        return this.chooseByPrediction(request, candidates);
    }

    override recordSent(request: SimulatedRequest, group: number): void {
        super.recordSent(request, group);
        this.reports[group].sentSince++;
    }

    override recordEvent(request: SimulatedRequest, group: number, isLast: boolean): void {
        super.recordEvent(request, group, isLast);
        this.reports[group].endedSince += isLast ? 1 : 0;
    }

    override recordReport(group: number, load: SimulatedLoad): void {
        this.reports[group] = { load, sentSince: 0, endedSince: 0 };
    }

    private estimateLoad(group: number): GroupLoad {
        const { load, sentSince, endedSince } = this.reports[group];
        const inFlight = [...this.inFlight[group]];
        const total = Math.max(inFlight.length, load.running + load.waiting + sentSince - endedSince);
        const waiting = Math.min(total, load.waiting + sentSince);
        return {
            running: total - waiting,
            waiting,
            pendingPrefillTokens: inFlight.reduce(
                (sum, request) => sum + (request.firstEventAt === undefined ? request.promptTokens : 0),
                0,
            ),
            kvUsedTokens: load.kvUsedTokens,
            pace: this.options.groups[group].pace,
        };
    }
}

/** Objective for the first event, in milliseconds; what would be refused for it is sent nevertheless. */
const OBJECTIVE_MS = 400;
/** Age of the state in a report when it is received, in milliseconds. */
export const REPORT_LAG_MS = 200;
const INCARNATION = 1;

/** Choice by the expected remaining work. */
class ExpectedWorkPolicy extends ChoicePolicy {
    private readonly costs = new RequestCostEstimator();
    private readonly works = this.options.groups.map(() => new EndpointWork<SimulatedRequest>(INCARNATION));

    override choose(request: SimulatedRequest, now: number): number {
        const { profile, model, groups, draw, gapObjectiveMs } = this.options;
        const { answerTokens } = this.costs.estimateGeneration(this.describe(request), profile, now);
        const typical = this.costs.estimateTypical(this.describe(request), profile);
        const additionMs = estimateAdditionMs(profile, model, typical.promptTokens);
        const candidates = this.listIndexes().map(group => {
            const work = this.works[group];
            const { pace } = groups[group];
            return {
                endpointId: String(group),
                load: { ...work.estimateGroup(typical), pace },
                failureScore: 0,
                spreadMs: computeSpreadMs(work.estimateOwnRequests(typical), additionMs * pace, draw()),
            };
        });
        return this.chooseByPrediction(request, candidates, { answerTokens, gapObjectiveMs });
    }

    override recordSent(request: SimulatedRequest, group: number, now: number): void {
        const cost = this.costs.estimateGeneration(this.describe(request), this.options.profile, now);
        this.works[group].addGeneration(request, cost, undefined, 0, now);
    }

    override recordEvent(request: SimulatedRequest, group: number, isLast: boolean, now: number): void {
        this.works[group].recordProgress(request, request.emittedTokens);
        if (isLast) {
            this.works[group].remove(request, now);
            this.costs.recordGeneration(this.describe(request), request.emittedTokens, this.options.profile, now);
        }
    }

    override recordReport(group: number, load: SimulatedLoad, now: number): void {
        this.works[group].recordReport({
            ...load,
            incarnation: INCARNATION,
            receivedAt: now,
            lagMs: REPORT_LAG_MS,
        });
    }

    private describe({ promptTokens, answerTokensHint }: SimulatedRequest): GenerationTraits {
        return {
            service: "s",
            model: this.options.model.name,
            route: "r",
            account: undefined,
            promptTokens,
            maxAnswerTokens: undefined,
            answerTokensHint,
        };
    }
}

/** Choice by the same prediction with the true work of every request at this moment. */
class OraclePolicy extends ChoicePolicy {
    override choose(request: SimulatedRequest): number {
        const candidates = this.options.groups.map((group, at) => {
            const requests = group.listRequests();
            return {
                endpointId: String(at),
                load: {
                    ...group.getLoad(),
                    pendingPrefillTokens: requests.reduce((sum, other) => sum + other.pendingPromptTokens, 0),
                    pace: group.pace,
                    requests,
                },
                failureScore: 0,
                // Equal groups are chosen at random.
                spreadMs: this.options.draw() * 1e-3,
            };
        });
        const { gapObjectiveMs } = this.options;
        return this.chooseByPrediction(request, candidates, { answerTokens: request.answerTokens, gapObjectiveMs });
    }
}

type PolicyClass = new(options: ChoicePolicyOptions) => ChoicePolicy;

/** All policies by the name under which they are printed. */
export const CHOICE_POLICIES: Record<string, PolicyClass> = {
    "random": RandomPolicy,
    "round robin": RoundRobinPolicy,
    "least in flight": LeastInFlightPolicy,
    "two choices": TwoChoicesPolicy,
    "least reported load": LeastReportedPolicy,
    "counts (former)": CountPolicy,
    "expected work": ExpectedWorkPolicy,
    "oracle": OraclePolicy,
};
