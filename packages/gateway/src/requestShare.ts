import { type CapacitySharing, MIN_RETURN_MS, type SharingDecision } from "@kumquathall/capacity-sharing";
import { computeStepMs, estimateServiceMs } from "@kumquathall/engine-model";
import type { EngineModelProfile, EngineProfile, TrafficAccount, TrafficRoute } from "@kumquathall/types";
import type { CapacityReporter } from "./capacityReporter.js";
import type { GroupPrediction, ReplicaGroupChoice } from "./chooseReplicaGroup.js";
import type { RequestHead } from "./httpHeaderCodec.js";

export interface RequestShareOptions {
    sharing: CapacitySharing;
    reporter: CapacityReporter;
    service: string;
    head: RequestHead;
    route: TrafficRoute;
    account: TrafficAccount | undefined;
    ageMs: number;
    /** Returns random numbers in [0, 1). */
    random?: () => number;
}

export interface ShareTimes {
    now: number;
    timeToObjectiveMs: number;
    timeToAbandonmentMs: number;
}

/** What is logged of a decision. */
export interface ShareRecord {
    rank: number;
    /** Admitted fraction of the work of the request's rank and account. */
    fraction: number;
    reason: string | undefined;
    /** Room has been kept for the request's return; `undefined` if it isn't refused. */
    hasReturnRoom: boolean | undefined;
}

/** One request's part of the capacity of a model's groups, until it is first sent. */
export class RequestShare {
    private readonly draw: number;
    private readonly random: () => number;
    private readonly request;
    private readonly answerTokens: number;
    private capacityMs = 0;
    private decision: SharingDecision | undefined;
    private hasReturnRoom: boolean | undefined;

    constructor(
        private readonly options: RequestShareOptions,
        private readonly profile: EngineProfile,
        private readonly model: EngineModelProfile,
        now: number,
    ) {
        const { service, head, route, account, ageMs, sharing, random = Math.random } = options;
        this.random = random;
        this.draw = random();
        const hintTokens = head.answerTokensHint ?? profile.usualAnswerTokens;
        // A request with more tokens than a group's memory holds can't run: larger headers would distort the demand.
        const { kvCapacityTokens } = profile;
        this.answerTokens = Math.min(hintTokens, head.maxAnswerTokens ?? hintTokens, kvCapacityTokens);
        const promptTokens = Math.min(head.promptTokens ?? profile.usualPromptTokens, kvCapacityTokens);
        this.request = {
            service,
            model: model.name,
            rank: account?.priority ?? route.priority,
            account: account?.name,
            workMs: estimateServiceMs(profile, model, promptTokens, this.answerTokens) * model.groupSize,
            isReturn: ageMs >= MIN_RETURN_MS,
        };
        sharing.recordOffered(this.request, now);
    }

    /** Decides whether the request is sent; the same state gives the same decision. */
    decide(prediction: GroupPrediction, times: ShareTimes): SharingDecision["refusal"] {
        const { sharing, route } = this.options;
        const { timeToObjectiveMs, timeToAbandonmentMs, now } = times;
        const { objectiveMs } = route;
        const { draw } = this;
        const state = { ...prediction, objectiveMs, timeToObjectiveMs, timeToAbandonmentMs, draw };
        this.capacityMs = prediction.capacityMs;
        this.decision = sharing.decide(this.request, state, now);
        return this.decision.refusal;
    }

    /** Schedules the return of the request, which is refused; returns the time in milliseconds from now. */
    scheduleReturn(
        refused: Extract<ReplicaGroupChoice, { kind: "refuse" }>,
        timeLeftMs: number,
        now: number,
    ): number {
        const { slots, usualPromptTokens } = this.profile;
        const stepMs = computeStepMs(this.profile, this.model.pace, slots, slots * usualPromptTokens);
        const { returnMs, hasRoom } = this.options.sharing.scheduleReturn(this.request, {
            capacityMs: refused.capacityMs,
            excessMs: refused.excessMs,
            timeLeftMs,
            answerMs: this.options.route.objectiveMs + this.answerTokens * stepMs,
            random: this.random(),
        }, now);
        this.hasReturnRoom = hasRoom;
        return returnMs;
    }

    /** Counts the decision, which is final. */
    report(now: number): void {
        if (this.decision !== undefined) {
            const { hasReturnRoom, capacityMs } = this;
            this.options.reporter.record(this.request, { ...this.decision, capacityMs, hasReturnRoom }, now);
        }
    }

    describe(): ShareRecord | undefined {
        const { decision, hasReturnRoom } = this;
        return decision === undefined ? undefined : {
            rank: this.request.rank,
            fraction: decision.fraction,
            reason: decision.refusal,
            hasReturnRoom,
        };
    }
}
