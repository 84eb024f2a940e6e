import type { ScheduledReturns } from "@kumquathall/capacity-sharing";
import { Counter, Gauge, Histogram, type Registry } from "prom-client";

/** Metrics of a gateway. */
export interface GatewayMetrics {
    answers: Counter<"route" | "status" | "cause">;
    attempts: Counter<"service" | "outcome">;
    firstByteSeconds: Histogram<"route">;
    active: Gauge;
    costErrorRatio: Histogram<"kind">;
    quarantined: Gauge<"subject">;
    permits: Counter<"outcome">;
    incompleteAnswers: Counter<"cause" | "stopping">;
    connectionsClosed: Counter<"reason">;
    responsesCut: Counter<"reason">;
    parseErrors: Counter<"code">;
    invalidResponses: Counter<"reason">;
    unreadAnswersCut: Counter;
    requestFaults: Counter;
    admittedFraction: Gauge<"service" | "model" | "rank">;
}

export interface GatewayMetricsOptions {
    /** Counts the endpoints whose requests are limited. */
    countLimited: () => number;
    /** Counts the endpoints that are cold. */
    countCold?: () => number;
    /** Counts the endpoints that have asked to be sent nothing now. */
    countPaused: () => number;
    /** Counts the evacuated data centres. */
    countEvacuated: () => number;
    /** Counts the bytes that are held for peers, by what they are. */
    countHeldBytes: () => Record<string, number>;
    /** Counts the requests that have been told to return later, by model. */
    listReturns: () => ScheduledReturns[];
}

/** Bucket bounds in seconds: objectives are some hundred milliseconds, deadlines some seconds. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8];

/** Bucket bounds of a ratio: powers of two around 1. */
const RATIO_BUCKETS = [1 / 16, 1 / 8, 1 / 4, 1 / 2, 0.8, 1, 1.25, 2, 4, 8, 16];

export function registerGatewayMetrics(metrics: Registry, options: GatewayMetricsOptions): GatewayMetrics {
    const registers = [metrics];
    new Gauge({
        name: "kumquathall_gateway_limited_endpoints",
        help: "Endpoints that get only as many requests as they name in their responses",
        registers,
        collect() {
            this.set(options.countLimited());
        },
    });
    new Gauge({
        name: "kumquathall_gateway_cold_endpoints",
        help:
            "Endpoints that have started or become cold, and get only the requests that their service declares for that",
        registers,
        collect() {
            this.set(options.countCold?.() ?? 0);
        },
    });
    new Gauge({
        name: "kumquathall_gateway_paused_endpoints",
        help: "Endpoints that have rejected a request and asked this gateway to send nothing for a time",
        registers,
        collect() {
            this.set(options.countPaused());
        },
    });
    new Gauge({
        name: "kumquathall_gateway_evacuated_data_centres",
        help: "Data centres whose endpoints get nothing new, since an operator has ordered their evacuation",
        registers,
        collect() {
            this.set(options.countEvacuated());
        },
    });
    new Gauge({
        name: "kumquathall_gateway_held_bytes",
        help: "Memory held for bodies of requests, responses without events, and events that callers have not read",
        labelNames: ["kind"],
        registers,
        collect() {
            Object.entries(options.countHeldBytes()).forEach(([kind, bytes]) => this.set({ kind }, bytes));
        },
    });
    new Gauge({
        name: "kumquathall_gateway_returns_scheduled",
        help: "Refused requests that have been told a later time at which there is room for them",
        labelNames: ["service", "model"],
        registers,
        collect() {
            options.listReturns().forEach(({ service, model, count }) => this.set({ service, model }, count));
        },
    });
    return {
        answers: new Counter({
            name: "kumquathall_gateway_answers_total",
            help: "Answers to callers",
            labelNames: ["route", "status", "cause"],
            registers,
        }),
        attempts: new Counter({
            name: "kumquathall_gateway_attempts_total",
            help: "Requests sent to endpoints, by how they ended",
            labelNames: ["service", "outcome"],
            registers,
        }),
        firstByteSeconds: new Histogram({
            name: "kumquathall_gateway_first_byte_seconds",
            help: "Time from a caller's request to the first byte of its answer",
            labelNames: ["route"],
            buckets: LATENCY_BUCKETS,
            registers,
        }),
        quarantined: new Gauge({
            name: "kumquathall_gateway_quarantined",
            help: "What is refused because it ended the endpoints that ran it, by what it is",
            labelNames: ["subject"],
            registers,
        }),
        permits: new Counter({
            name: "kumquathall_gateway_permits_total",
            help: "Permits to send to limited endpoints that were asked of control, by outcome",
            labelNames: ["outcome"],
            registers,
        }),
        incompleteAnswers: new Counter({
            name: "kumquathall_gateway_incomplete_answers_total",
            help:
                "Requests that ended without a complete answer of an endpoint, by cause and whether the gateway was stopping",
            labelNames: ["cause", "stopping"],
            registers,
        }),
        connectionsClosed: new Counter({
            name: "kumquathall_gateway_connections_closed_total",
            help: "Callers' connections that this process closed, by reason",
            labelNames: ["reason"],
            registers,
        }),
        responsesCut: new Counter({
            name: "kumquathall_gateway_responses_cut_total",
            help: "Responses that had not left the process when it closed their connection, by reason",
            labelNames: ["reason"],
            registers,
        }),
        parseErrors: new Counter({
            name: "kumquathall_gateway_parse_errors_total",
            help: "Callers' bytes that are no HTTP request, by the parser's error code",
            labelNames: ["code"],
            registers,
        }),
        invalidResponses: new Counter({
            name: "kumquathall_gateway_invalid_responses_total",
            help: "Bytes of endpoints that are not the response that a request waits for, by reason",
            labelNames: ["reason"],
            registers,
        }),
        requestFaults: new Counter({
            name: "kumquathall_gateway_request_faults_total",
            help: "Exceptions while one request was handled, each of which ended that request",
            registers,
        }),
        unreadAnswersCut: new Counter({
            name: "kumquathall_gateway_unread_answers_cut_total",
            help: "Connections closed because callers had not read their answers while others held as much as they may",
            registers,
        }),
        costErrorRatio: new Histogram({
            name: "kumquathall_gateway_cost_error_ratio",
            help: "Work of answered requests relative to its estimate on arrival, by kind of request",
            labelNames: ["kind"],
            buckets: RATIO_BUCKETS,
            registers,
        }),
        admittedFraction: new Gauge({
            name: "kumquathall_gateway_admitted_fraction",
            help: "Fraction of the offered work that is admitted while more is offered than can be served, by rank",
            labelNames: ["service", "model", "rank"],
            registers,
        }),
        active: new Gauge({
            name: "kumquathall_gateway_active_requests",
            help: "Requests under way",
            registers,
        }),
    };
}
