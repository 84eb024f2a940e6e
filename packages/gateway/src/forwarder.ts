import type { Logger } from "@kumquathall/logger";
import type { CrashFact } from "@kumquathall/types";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallerAge } from "./callerAge.js";
import type { EndpointBook } from "./endpointBook.js";
import { FirstEventBias } from "./firstEventBias.js";
import { ForwardedRequest } from "./forwardedRequest.js";
import type { HttpHeaderCodec } from "./httpHeaderCodec.js";
import type { GatewayMetrics } from "./metrics.js";
import { readBody } from "./readBody.js";
import { RefusalCause, refuse } from "./refusal.js";
import { chooseTarget, type RouteTable } from "./routeTable.js";
import { SharedRetryBudget } from "./sharedRetryBudget.js";

export interface ForwarderOptions {
    book: EndpointBook;
    dialect: HttpHeaderCodec;
    logger: Logger;
    metrics: GatewayMetrics;
    getTable: () => RouteTable | undefined;
    /** Whether the process has been asked to stop. */
    isStopping: () => boolean;
    /** Whether a request that may need so long can still be finished, in milliseconds. */
    canTake: (mayNeedMs: number) => boolean;
    onFirstRequest: () => void;
    onCrash: (fact: CrashFact) => void;
    /** Gateways that share the retry budget. */
    countGateways: () => number;
    /** Repeats that all gateways together may send beyond the ratio, in one window. */
    retrySlack: number;
    /** Repeats for each first attempt. */
    retryRatio: number;
}

/** Takes requests of callers: finds the route and the account, reads the body and starts the forwarding. */
export class Forwarder {
    private readonly active = new Set<ForwardedRequest>();
    private readonly budgets = new Map<string, SharedRetryBudget>();
    private readonly bias = new FirstEventBias();
    private readonly ages = new CallerAge();
    private isTrafficSeen = false;

    constructor(private readonly options: ForwarderOptions) {}

    hasSeenRequest(): boolean {
        return this.isTrafficSeen;
    }

    countActive(): number {
        return this.active.size;
    }

    forward(request: IncomingMessage, response: ServerResponse): void {
        const { dialect, metrics, isStopping } = this.options;
        const arrivedAt = performance.now();
        if (!this.isTrafficSeen) {
            this.isTrafficSeen = true;
            this.options.onFirstRequest();
        }
        if (isStopping()) {
            response.setHeader("connection", "close");
        }
        const headers = new Map(
            Object.entries(request.headers).map((
                [name, value],
            ) => [name, Array.isArray(value) ? value.join(",") : value ?? ""]),
        );
        const head = dialect.decodeRequest(headers);
        const table = this.options.getTable();
        const target = request.url ?? "/";
        const answerRefusal = (cause: (typeof RefusalCause)[keyof typeof RefusalCause], route = "none") => {
            metrics.answers.inc({ route, status: String(cause.status), cause: cause.name });
            this.options.logger.info("request-refused", {
                requestId: head.requestId,
                route,
                cause: cause.name,
                status: cause.status,
                configuration: table?.configuration.version,
            });
            request.resume();
            refuse(response, dialect, head.requestId, cause);
        };
        if (table === undefined) {
            answerRefusal(RefusalCause.NoConfiguration);
            return;
        }
        const route = table.findRoute(request.headers.host ?? "", target);
        if (route === undefined) {
            answerRefusal(RefusalCause.NoRoute);
            return;
        }
        const account = table.findAccount(head.key);
        if (account === undefined && table.hasAccounts() && !route.isPublic) {
            answerRefusal(RefusalCause.UnknownKey, route.name);
            return;
        }
        const withinMs = Math.min(route.timeoutMs, head.deadlineMs ?? route.timeoutMs);
        if (!this.options.canTake(withinMs)) {
            answerRefusal(RefusalCause.Stopping, route.name);
            return;
        }
        readBody(request, { maxBytes: table.configuration.limits.maxBodyBytes, withinMs }, outcome => {
            if (outcome.kind === "tooLarge") {
                answerRefusal(RefusalCause.BodyTooLarge, route.name);
                return;
            }
            if (outcome.kind === "late") {
                // What still arrives of the body would be taken for the next request.
                response.setHeader("connection", "close");
                answerRefusal(RefusalCause.BodyLate, route.name);
                return;
            }
            const { body } = outcome;
            const service = chooseTarget(route, Math.random());
            const forwarded = new ForwardedRequest({
                request,
                response,
                body,
                arrivedAt,
                head,
                route,
                account,
                service,
                table,
                book: this.options.book,
                dialect,
                logger: this.options.logger,
                metrics,
                budget: this.getBudget(service),
                bias: this.bias,
                ageMs: head.deadlineMs === undefined ? 0 : this.ages.record(route.name, head.deadlineMs),
                onCrash: this.options.onCrash,
                onEnd: () => {
                    this.active.delete(forwarded);
                    metrics.active.set(this.active.size);
                },
            });
            this.active.add(forwarded);
            metrics.active.set(this.active.size);
            forwarded.start();
        });
    }

    private getBudget(service: string): SharedRetryBudget {
        const known = this.budgets.get(service);
        if (known !== undefined) {
            return known;
        }
        const { retrySlack: slack, retryRatio: ratio, countGateways } = this.options;
        const budget = new SharedRetryBudget({ ratio, slack, countGateways });
        this.budgets.set(service, budget);
        return budget;
    }
}
