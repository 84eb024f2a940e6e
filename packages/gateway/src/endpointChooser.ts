import { estimateAdditionMs } from "@kumquathall/engine-model";
import { computeSpreadMs } from "@kumquathall/request-cost";
import type { EngineModelProfile, EngineProfile } from "@kumquathall/types";
import { chooseLeastLoadedEndpoint } from "./chooseLeastLoadedEndpoint.js";
import { chooseReplicaGroup, type ReplicaGroupChoice } from "./chooseReplicaGroup.js";
import type { EndpointLimits } from "./endpointLimits.js";
import { EndpointScope } from "./endpointScope.js";
import type { EndpointTracker, TrackedEndpoint } from "./endpointTracker.js";
import type { FirstEventBiasEstimator } from "./firstEventBiasEstimator.js";
import { pickCandidates } from "./pickCandidates.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import { RequestShare, type RequestShareOptions, type ShareRecord } from "./requestShare.js";
import type { RequestWork } from "./requestWork.js";
import type { RouteTable } from "./routeTable.js";

export interface EndpointChooserOptions extends RequestShareOptions {
    table: RouteTable;
    tracker: EndpointTracker;
    limits: EndpointLimits;
    bias: FirstEventBiasEstimator;
    /** Returns the region of a data centre; `undefined` if it is not known. */
    getRegion: (dataCentre: string) => string | undefined;
    /** Expected work of the request; without it, every request counts the same. */
    work?: RequestWork;
}

export interface EndpointChoiceTimes {
    now: number;
    timeToObjectiveMs: number;
    timeToAbandonmentMs: number;
    /** Time to the request's deadline. */
    timeLeftMs: number;
}

/** The endpoint to send a request to, or the refusal if there is none; the other fields are logged. */
export interface EndpointChoice {
    endpoint: TrackedEndpoint | undefined;
    /** Refusal to send if `endpoint` is `undefined`. */
    refusal: Refusal;
    /** Number of endpoints or groups considered. */
    candidates: number;
    /** Predicted time until the first event, in milliseconds; 0 for plain services. */
    predictedMs: number;
    /** The predicted time meets the latency objective. */
    isOnTime: boolean;
    /** Number of candidates that limit their requests and of which this gateway has no permit. */
    limited: number;
    /** Time until a permit can make an endpoint available that meets the objective, in milliseconds. */
    permitWaitMs: number | undefined;
    /** The refusal by the best group's state. */
    refused?: Extract<ReplicaGroupChoice, { kind: "refuse" }>;
    /** How the capacity is shared; `undefined` for plain services and for requests that have been sent before. */
    share?: ShareRecord;
}

/** Usual time to repair a group with a standby, in milliseconds: detect the loss, join the members, open the head. */
const REPAIR_MS = 1000;
/** Groups of which one choice predicts times, in microseconds each; of more, it takes a random part. */
const MAX_CANDIDATES = 64;
/** Shortest time to return after a refusal for a limit or a pause, in milliseconds. */
const MIN_RETRY_AFTER_MS = 150;

/** Chooses an endpoint of one request's service. */
export class EndpointChooser {
    /** Endpoint for which the latest choice has called for a permit. */
    private wanted: { key: string; afterCall: number } | undefined;
    private share: RequestShare | undefined;

    private readonly scope: EndpointScope;

    constructor(private readonly options: EndpointChooserOptions) {
        this.scope = new EndpointScope(options);
    }

    /** Chooses an endpoint; skips those in `triedKeys` and those to be avoided after a failure. */
    choose(triedKeys: Set<string>, times: EndpointChoiceTimes): EndpointChoice {
        const { table, service, head } = this.options;
        const { now } = times;
        const { engine } = table.getService(service) ?? { engine: undefined };
        const listed = this.listEndpoints(now);
        const usable = listed.filter(endpoint =>
            endpoint.avoidUntil <= now && !triedKeys.has(endpoint.key) && endpoint.pause.canSend(endpoint.inFlight, now)
        );
        if (usable.length === 0) {
            const refusal = this.findPauseRefusal(now) ?? this.scope.findRefusal(this.listServing(now), Math.random());
            return buildChoice(refusal === undefined ? {} : { refusal, candidates: listed.length });
        }
        const endpoints = this.classifyByPermit(usable, now);
        if (engine === undefined) {
            return this.choosePlain(endpoints, times);
        }
        const model = engine.models.find(item => item.name === head.model);
        if (model === undefined) {
            return buildChoice();
        }
        // What has been sent once keeps its part of the capacity.
        const share = triedKeys.size > 0
            ? undefined
            : this.share ??= new RequestShare(this.options, engine, model, now);
        const choice = this.chooseHead({ engine, model, share }, endpoints, times);
        return share === undefined ? choice : completeShare(share, choice, times);
    }

    /** Builds the refusal of a request that no endpoint takes because of a pause, with the time at which one ends. */
    findPauseRefusal(now: number): Refusal | undefined {
        const listed = this.listEndpoints(now);
        const paused = listed.filter(endpoint => !endpoint.pause.canSend(endpoint.inFlight, now));
        if (paused.length === 0) {
            return undefined;
        }
        const endMs = paused.reduce(
            (first, { pause }) => Math.min(first, pause.getRemainingMs(now)),
            Number.POSITIVE_INFINITY,
        );
        // The others can't be used for a moment after a failure, or have rejected this request.
        const firstMs = paused.length === listed.length ? endMs : Math.min(endMs, REPAIR_MS);
        return { ...RefusalCause.EndpointsPaused, retryAfterMs: computeReturnMs(firstMs) };
    }

    /** Lists the endpoints that serve the request's service and model and may get the request. */
    private listEndpoints(now: number): TrackedEndpoint[] {
        return this.scope.select(this.listServing(now));
    }

    /** Lists the endpoints that serve the request's service and model. */
    private listServing(now: number): TrackedEndpoint[] {
        const { table, service, tracker, head } = this.options;
        const { engine } = table.getService(service) ?? { engine: undefined };
        return engine === undefined
            ? tracker.listPlainEndpoints(service, now)
            : tracker.listGroupHeads(service, head.model ?? "");
    }

    private choosePlain({ permitted, limited }: EndpointsByPermit, times: EndpointChoiceTimes): EndpointChoice {
        const { now } = times;
        const requestMs = this.options.work?.getPlainMs();
        const choice = buildChoice({
            endpoint: this.chooseBelowColdShare(permitted, now, endpoints => {
                const endpoint = chooseLeastLoadedEndpoint(endpoints, now, requestMs);
                return { endpoint, isOnTime: endpoint !== undefined && endpoint.inFlight.size < endpoint.view.slots };
            }).endpoint,
            candidates: permitted.length + limited.length,
            limited: limited.length,
        });
        if (limited.length === 0) {
            return choice;
        }
        const next = this.listNextPermitted(limited, now);
        const wanted = chooseLeastLoadedEndpoint(
            choice.endpoint === undefined ? next : [choice.endpoint, ...next],
            now,
            requestMs,
        );
        return wanted === undefined || wanted === choice.endpoint
            ? choice
            : this.waitForPermit(wanted, choice, 0, times);
    }

    private chooseHead(
        target: ModelTarget,
        { permitted, limited }: EndpointsByPermit,
        times: EndpointChoiceTimes,
    ): EndpointChoice {
        const choice = this.chooseBelowColdShare(
            permitted,
            times.now,
            (endpoints, others) => this.chooseGroup(target, endpoints, [...others, ...limited], times),
        );
        choice.candidates = permitted.length + limited.length;
        choice.limited = limited.length;
        if (limited.length === 0) {
            return choice;
        }
        const next = this.listNextPermitted(limited, times.now);
        const others = limited.filter(endpoint => !next.includes(endpoint));
        const best = this.chooseGroup(target, [...permitted, ...next], others, times);
        if (choice.endpoint === undefined && best.endpoint === undefined) {
            return { ...best, candidates: choice.candidates, limited: choice.limited };
        }
        if (best.endpoint === undefined || best.endpoint === choice.endpoint) {
            return choice;
        }
        const predictedMs = best.isOnTime ? best.predictedMs : Number.POSITIVE_INFINITY;
        return this.waitForPermit(best.endpoint, choice, predictedMs, times);
    }

    private classifyByPermit(endpoints: TrackedEndpoint[], now: number): EndpointsByPermit {
        const split: EndpointsByPermit = { permitted: [], limited: [] };
        for (const endpoint of endpoints) {
            (this.options.limits.hasPermit(endpoint.key, now) ? split.permitted : split.limited).push(endpoint);
        }
        return split;
    }

    /**
     * Chooses among the endpoints to which this gateway has sent less than its share of what they may receive if they become
     * cold unnoticed, or the least; among all if none of those serves the request in time.
     */
    private chooseBelowColdShare<Choice extends Pick<EndpointChoice, "endpoint" | "isOnTime">>(
        endpoints: TrackedEndpoint[],
        now: number,
        choose: (endpoints: TrackedEndpoint[], others: TrackedEndpoint[]) => Choice,
    ): Choice {
        const counts = endpoints.map(endpoint => this.options.limits.countAboveColdShare(endpoint.key, now));
        const fewest = counts.reduce((least, count) => Math.min(least, count), Number.POSITIVE_INFINITY);
        const preferred = endpoints.filter((_, at) => counts[at] === fewest);
        if (preferred.length < endpoints.length) {
            const choice = choose(preferred, endpoints.filter(endpoint => !preferred.includes(endpoint)));
            if (choice.endpoint !== undefined && choice.isOnTime) {
                return choice;
            }
        }
        return choose(endpoints, []);
    }

    /** Chooses one of the `endpoints`; the others count only as capacity. */
    private chooseGroup(
        { engine, model, share }: ModelTarget,
        endpoints: TrackedEndpoint[],
        others: TrackedEndpoint[],
        times: EndpointChoiceTimes,
    ): EndpointChoice {
        const { tracker, head, bias, work, table, service } = this.options;
        const cost = work?.getGenerationCost();
        const typical = cost === undefined ? undefined : work?.estimateTypical(engine);
        const additionMs = typical === undefined ? 0 : estimateAdditionMs(engine, model, typical.promptTokens);
        const drawn = pickCandidates(endpoints, MAX_CANDIDATES, Math.random);
        // What isn't drawn counts as capacity like what can't be chosen.
        const undrawn = drawn.length === endpoints.length
            ? others
            : [...others, ...endpoints.filter(endpoint => !drawn.includes(endpoint))];
        const choice = chooseReplicaGroup({
            profile: engine,
            model,
            promptTokens: head.promptTokens ?? engine.usualPromptTokens,
            answerTokens: cost?.answerTokens,
            priority: work?.getPriority(),
            gapObjectiveMs: table.getShortestGapObjectiveMs(service),
            candidates: drawn.map(endpoint => {
                const load = tracker.estimateLoad(endpoint, typical);
                const spreadMs = typical === undefined
                    ? 0
                    : computeSpreadMs(
                        endpoint.work.estimateOwnRequests(typical),
                        additionMs * load.pace,
                        Math.random(),
                    );
                const failureScore = endpoint.health.getFailureScore(times.now);
                return { endpointId: endpoint.key, load, failureScore, spreadMs };
            }),
            otherLoads: undrawn.map(endpoint => tracker.estimateLoad(endpoint)),
            firstEventBiasMs: bias.get(model.name),
            timeToObjectiveMs: times.timeToObjectiveMs,
            timeToAbandonmentMs: times.timeToAbandonmentMs,
            random: Math.random(),
            decide: share === undefined ? undefined : prediction => share.decide(prediction, times),
        });
        switch (choice.kind) {
            case "none":
                return buildChoice();
            case "refuse":
                return buildChoice({
                    refusal: { ...RefusalCause.NoRoom, retryAfterMs: choice.retryAfterMs },
                    predictedMs: choice.predictedMs,
                    refused: choice,
                });
            case "send":
                return buildChoice({
                    endpoint: endpoints.find(endpoint => endpoint.key === choice.endpointId),
                    predictedMs: choice.predictedMs,
                    isOnTime: choice.isOnTime,
                });
        }
    }

    /** Lists the endpoints for which the next permit can be had first. */
    private listNextPermitted(limited: TrackedEndpoint[], now: number): TrackedEndpoint[] {
        const waits = limited.map(endpoint => this.options.limits.getWaitMs(endpoint.key, now));
        const firstMs = waits.reduce((first, waitMs) => Math.min(first, waitMs), Number.POSITIVE_INFINITY);
        return limited.filter((_, at) => waits[at] <= firstMs);
    }

    /** Calls for a permit for the endpoint, and waits for it if nothing else serves the request as well. */
    private waitForPermit(
        endpoint: TrackedEndpoint,
        choice: EndpointChoice,
        predictedMs: number,
        times: EndpointChoiceTimes,
    ): EndpointChoice {
        const { limits } = this.options;
        const isFirstCall = this.wanted === undefined;
        const afterCall = this.wanted?.key === endpoint.key ? this.wanted.afterCall : undefined;
        this.wanted = { key: endpoint.key, afterCall: limits.askForPermit(endpoint.key, times.now, afterCall) };
        if (choice.endpoint !== undefined && choice.isOnTime) {
            return choice;
        }
        const waitMs = limits.getWaitMs(endpoint.key, times.now);
        // A call decides at once; a request that is late waits for one call at most.
        const isCallWorthwhile = waitMs === 0 && (isFirstCall || times.timeToObjectiveMs > 0);
        if (isCallWorthwhile || waitMs + predictedMs <= times.timeToObjectiveMs) {
            return { ...choice, endpoint: undefined, permitWaitMs: waitMs };
        }
        if (choice.endpoint !== undefined) {
            return choice;
        }
        const retryAfterMs = computeReturnMs(limits.getRetryAfterMs(endpoint.key, times.now));
        return { ...choice, refusal: { ...RefusalCause.OverLimit, retryAfterMs } };
    }
}

/** A model of a service with the request's part of its capacity; `undefined` once the request has been sent. */
interface ModelTarget {
    engine: EngineProfile;
    model: EngineModelProfile;
    share: RequestShare | undefined;
}

/** Endpoints of which this gateway has a permit, unlimited ones among them, and the others. */
interface EndpointsByPermit {
    permitted: TrackedEndpoint[];
    limited: TrackedEndpoint[];
}

/** Spreads the return of requests that were refused until the same moment; none returns before it. */
function computeReturnMs(ms: number): number {
    return Math.max(MIN_RETRY_AFTER_MS, ms * (1 + Math.random() / 4));
}

/** Schedules the return of a request that is refused for lack of capacity, and records the decision. */
function completeShare(share: RequestShare, choice: EndpointChoice, times: EndpointChoiceTimes): EndpointChoice {
    const { endpoint, permitWaitMs, refusal, refused } = choice;
    if (endpoint === undefined && permitWaitMs !== undefined) {
        return choice;
    }
    if (endpoint === undefined && refused !== undefined && refusal.name === RefusalCause.NoRoom.name) {
        const retryAfterMs = share.scheduleReturn(refused, times.timeLeftMs, times.now);
        share.report(times.now);
        return { ...choice, refusal: { ...refusal, retryAfterMs }, share: share.describe() };
    }
    share.report(times.now);
    return { ...choice, share: share.describe() };
}

/** Builds the choice of no endpoint, with what differs from it. */
function buildChoice(choice: Partial<EndpointChoice> = {}): EndpointChoice {
    return {
        endpoint: undefined,
        refusal: { ...RefusalCause.NoEndpoint, retryAfterMs: REPAIR_MS * (0.75 + Math.random() / 2) },
        candidates: 0,
        predictedMs: 0,
        isOnTime: true,
        limited: 0,
        permitWaitMs: undefined,
        ...choice,
    };
}
