import { estimateServiceMs } from "@kumquathall/engine-model";
import type {
    GenerationCost,
    GenerationTraits,
    PlainCost,
    PlainTraits,
    RequestCostEstimator,
    TypicalRequest,
} from "@kumquathall/request-cost";
import { type EngineProfile, RequestKind, type TrafficAccount, type TrafficRoute } from "@kumquathall/types";
import type { SentRequest, TrackedEndpoint } from "./endpointTracker.js";
import type { RequestHead } from "./httpHeaderCodec.js";
import type { RouteTable } from "./routeTable.js";

export interface RequestWorkOptions {
    costs: RequestCostEstimator;
    request: { method?: string };
    body: Buffer;
    head: RequestHead;
    route: TrafficRoute;
    account: TrafficAccount | undefined;
    service: string;
    table: RouteTable;
}

/** Work of a request as estimated on arrival and as it was, in milliseconds of an endpoint. */
export interface WorkFigures {
    kind: "generation" | "plain";
    estimatedMs: number;
    /** `undefined` if the answer was not complete or doesn't show it. */
    actualMs: number | undefined;
}

const FIRST_ERROR_STATUS = 400;

/** Work of one request: its estimate, its share in the work of the endpoint that runs it, and what it took. */
export class RequestWork {
    private readonly engine: EngineProfile | undefined;
    private readonly generationTraits: GenerationTraits;
    private readonly plainTraits: PlainTraits;
    private readonly generation: GenerationCost | undefined;
    private readonly plain: PlainCost;
    private emittedTokens = 0;
    private hadFreeSlot = false;
    private sentAt = 0;
    private actualMs: number | undefined;

    constructor(private readonly options: RequestWorkOptions) {
        const { costs, request, body, head, route, account, service, table } = options;
        this.engine = table.getService(service)?.engine;
        const now = performance.now();
        this.generationTraits = {
            service,
            model: head.model ?? "",
            route: route.name,
            account: account?.name,
            promptTokens: head.promptTokens,
            maxAnswerTokens: head.maxAnswerTokens,
            answerTokensHint: head.answerTokensHint,
        };
        this.plainTraits = {
            route: route.name,
            method: request.method ?? "",
            account: account?.name,
            bodyBytes: body.length,
        };
        this.generation = this.engine && costs.estimateGeneration(this.generationTraits, this.engine, now);
        this.plain = costs.estimatePlain(this.plainTraits, now);
    }

    /** Expected tokens; `undefined` if the request is no generation or doesn't say how long its prompt is. */
    getGenerationCost(): GenerationCost | undefined {
        return this.options.head.promptTokens === undefined ? undefined : this.generation;
    }

    /** Expected time of a request to a plain service, in milliseconds. */
    getPlainMs(): number {
        return this.plain.ms;
    }

    estimateTypical(engine: EngineProfile): TypicalRequest {
        return this.options.costs.estimateTypical(this.generationTraits, engine);
    }

    getPriority(): number {
        return this.options.account?.priority ?? this.options.route.priority;
    }

    /** Records that the request is sent to an endpoint. */
    recordSent(endpoint: TrackedEndpoint, sent: SentRequest, priority: number): void {
        endpoint.inFlight.add(sent);
        this.sentAt = sent.sentAt;
        if (this.generation !== undefined) {
            endpoint.work.addGeneration(sent, this.generation, priority, this.emittedTokens, sent.sentAt);
            return;
        }
        this.hadFreeSlot = endpoint.work.hasFreeSlot(endpoint.view.slots);
        endpoint.work.addPlain(sent, this.plain, sent.sentAt);
    }

    /** Records an event of a stream, which holds one pass' tokens. */
    recordEvent(endpoint: TrackedEndpoint, sent: SentRequest): void {
        this.emittedTokens += this.engine?.stride ?? 0;
        endpoint.work.recordProgress(sent, this.emittedTokens);
    }

    /** Records that an attempt has ended. */
    recordEnd(endpoint: TrackedEndpoint, sent: SentRequest): void {
        endpoint.inFlight.delete(sent);
        endpoint.work.remove(sent, performance.now());
    }

    /** Learns from a complete answer. A stream that its caller resumed doesn't show its whole length. */
    recordServed(status: number): void {
        const { costs, head, route } = this.options;
        if (status >= FIRST_ERROR_STATUS) {
            return;
        }
        const now = performance.now();
        if (this.engine === undefined) {
            this.actualMs = now - this.sentAt;
            costs.recordPlain(this.plainTraits, this.actualMs, this.hadFreeSlot, now);
            return;
        }
        if (route.kind === RequestKind.Streaming && head.lastEventId === undefined && this.emittedTokens > 0) {
            this.actualMs = this.computeServiceMs(this.emittedTokens);
            costs.recordGeneration(this.generationTraits, this.emittedTokens, this.engine, now);
        }
    }

    getFigures(): WorkFigures {
        return this.generation === undefined
            ? { kind: "plain", estimatedMs: this.plain.ms, actualMs: this.actualMs }
            : {
                kind: "generation",
                estimatedMs: this.computeServiceMs(this.generation.answerTokens),
                actualMs: this.actualMs,
            };
    }

    private computeServiceMs(answerTokens: number): number {
        const model = this.engine?.models.find(item => item.name === this.generationTraits.model);
        return this.engine === undefined || model === undefined || this.generation === undefined
            ? 0
            : estimateServiceMs(this.engine, model, this.generation.promptTokens, answerTokens);
    }
}
