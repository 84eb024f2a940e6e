import type { TrafficRoute } from "@kumquathall/types";
import { chooseLeastLoadedEndpoint } from "./chooseLeastLoadedEndpoint.js";
import { chooseReplicaGroup } from "./chooseReplicaGroup.js";
import type { EndpointTracker, TrackedEndpoint } from "./endpointTracker.js";
import type { FirstEventBiasEstimator } from "./firstEventBiasEstimator.js";
import type { RequestHead } from "./httpHeaderCodec.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import type { RouteTable } from "./routeTable.js";

export interface EndpointChooserOptions {
    table: RouteTable;
    tracker: EndpointTracker;
    bias: FirstEventBiasEstimator;
    route: TrafficRoute;
    service: string;
    head: RequestHead;
}

export interface EndpointChoiceTimes {
    now: number;
    timeToObjectiveMs: number;
    timeToAbandonmentMs: number;
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
}

/** Usual time to repair a group with a standby, in milliseconds: detect the loss, join the members, open the head. */
const REPAIR_MS = 1000;

/** Chooses an endpoint of one request's service. */
export class EndpointChooser {
    constructor(private readonly options: EndpointChooserOptions) {}

    /** Chooses an endpoint; skips those in `triedKeys` and those to be avoided after a failure. */
    choose(triedKeys: Set<string>, times: EndpointChoiceTimes): EndpointChoice {
        const { table, service, tracker, head } = this.options;
        const { now } = times;
        const { engine } = table.getService(service) ?? { engine: undefined };
        const isUsable = (endpoint: TrackedEndpoint) => endpoint.avoidUntil <= now && !triedKeys.has(endpoint.key);
        const none: EndpointChoice = {
            endpoint: undefined,
            refusal: { ...RefusalCause.NoEndpoint, retryAfterMs: REPAIR_MS * (0.75 + Math.random() / 2) },
            candidates: 0,
            predictedMs: 0,
            isOnTime: true,
        };
        if (engine === undefined) {
            const endpoints = tracker.listPlainEndpoints(service, now).filter(isUsable);
            return { ...none, endpoint: chooseLeastLoadedEndpoint(endpoints, now), candidates: endpoints.length };
        }
        const model = engine.models.find(item => item.name === head.model);
        if (model === undefined) {
            return none;
        }
        const endpoints = tracker.listGroupHeads(service, model.name).filter(isUsable);
        const choice = chooseReplicaGroup({
            profile: engine,
            model,
            promptTokens: head.promptTokens ?? engine.usualPromptTokens,
            candidates: endpoints.map(endpoint => ({
                endpointId: endpoint.key,
                load: tracker.estimateLoad(endpoint),
                failureScore: endpoint.health.getFailureScore(now),
            })),
            firstEventBiasMs: this.options.bias.get(model.name),
            timeToObjectiveMs: times.timeToObjectiveMs,
            timeToAbandonmentMs: times.timeToAbandonmentMs,
            random: Math.random(),
        });
        switch (choice.kind) {
            case "none":
                return none;
            case "refuse":
                return {
                    ...none,
                    refusal: { ...RefusalCause.NoRoom, retryAfterMs: choice.retryAfterMs },
                    candidates: endpoints.length,
                    predictedMs: choice.predictedMs,
                };
            case "send":
                return {
                    ...none,
                    endpoint: endpoints.find(endpoint => endpoint.key === choice.endpointId),
                    candidates: endpoints.length,
                    predictedMs: choice.predictedMs,
                    isOnTime: choice.isOnTime,
                };
        }
    }
}
