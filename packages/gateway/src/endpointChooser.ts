import type { TrafficRoute } from "@kumquathall/types";
import { choosePlain } from "./choosePlain.js";
import { chooseReplicaGroup } from "./chooseReplicaGroup.js";
import type { EndpointBook, EndpointUse } from "./endpointBook.js";
import type { FirstEventBias } from "./firstEventBias.js";
import type { RequestHead } from "./httpHeaderCodec.js";
import { type Refusal, RefusalCause } from "./refusal.js";
import type { RouteTable } from "./routeTable.js";

export interface EndpointChooserOptions {
    table: RouteTable;
    book: EndpointBook;
    bias: FirstEventBias;
    route: TrafficRoute;
    service: string;
    head: RequestHead;
}

export interface EndpointChoiceTimes {
    now: number;
    untilObjectiveMs: number;
    untilGivenUpMs: number;
}

/** Where to send a request, or why nowhere; with what the log tells of the choice. */
export interface EndpointChoice {
    use: EndpointUse | undefined;
    /** What to answer if there is none. */
    refusal: Refusal;
    /** Endpoints or groups that were looked at. */
    candidates: number;
    /** Predicted time until the first event; 0 for plain services. */
    predictedMs: number;
    /** The objective can be met, as far as is known. */
    isOnTime: boolean;
}

/** Usual time until a group is repaired by a standby: its loss is seen, members join, the head opens, in milliseconds. */
const REPAIR_MS = 1000;

/** Chooses among the endpoints of one request's service. */
export class EndpointChooser {
    constructor(private readonly options: EndpointChooserOptions) {}

    /** Endpoints in `triedKeys` and those to avoid for now are left out. */
    choose(triedKeys: Set<string>, times: EndpointChoiceTimes): EndpointChoice {
        const { table, service, book, head } = this.options;
        const { now } = times;
        const { engine } = table.getService(service) ?? { engine: undefined };
        const isUsable = (use: EndpointUse) => use.avoidUntil <= now && !triedKeys.has(use.key);
        const none: EndpointChoice = {
            use: undefined,
            refusal: { ...RefusalCause.NoEndpoint, retryAfterMs: REPAIR_MS * (0.75 + Math.random() / 2) },
            candidates: 0,
            predictedMs: 0,
            isOnTime: true,
        };
        if (engine === undefined) {
            const uses = book.listPlain(service, now).filter(isUsable);
            return { ...none, use: choosePlain(uses, now), candidates: uses.length };
        }
        const model = engine.models.find(item => item.name === head.model);
        if (model === undefined) {
            return none;
        }
        const uses = book.listHeads(service, model.name).filter(isUsable);
        const choice = chooseReplicaGroup({
            profile: engine,
            model,
            promptTokens: head.promptTokens ?? engine.usualPromptTokens,
            candidates: uses.map(use => ({
                endpointId: use.key,
                load: book.estimateLoad(use),
                failureScore: use.health.getFailureScore(now),
            })),
            firstEventBiasMs: this.options.bias.get(model.name),
            untilObjectiveMs: times.untilObjectiveMs,
            untilGivenUpMs: times.untilGivenUpMs,
            random: Math.random(),
        });
        switch (choice.kind) {
            case "none":
                return none;
            case "refuse":
                return {
                    ...none,
                    refusal: { ...RefusalCause.NoRoom, retryAfterMs: choice.retryAfterMs },
                    candidates: uses.length,
                    predictedMs: choice.predictedMs,
                };
            case "send":
                return {
                    ...none,
                    use: uses.find(use => use.key === choice.endpointId),
                    candidates: uses.length,
                    predictedMs: choice.predictedMs,
                    isOnTime: choice.isOnTime,
                };
        }
    }
}
