import { Counter, Gauge, Histogram, type Registry } from "prom-client";

/** Request metrics of an entry. The label values are declared services and fixed codes, so their number is bounded. */
export class EntryMetrics {
    private readonly requests: Counter<"service" | "outcome" | "code">;
    private readonly durations: Histogram<"service">;

    constructor(private readonly registry: Registry) {
        const registers = [registry];
        this.requests = new Counter({
            name: "kumquathall_requests_total",
            help: "Requests by service, outcome and code",
            labelNames: ["service", "outcome", "code"],
            registers,
        });
        this.durations = new Histogram({
            name: "kumquathall_request_seconds",
            help: "Time from a request's first byte to the last of its answer",
            labelNames: ["service"],
            buckets: [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60],
            registers,
        });
    }

    countRequest(service: string, outcome: string, code: string, seconds: number): void {
        this.requests.inc({ service, outcome, code });
        this.durations.observe({ service }, seconds);
    }

    /** Adds a gauge whose value is read at each scrape. */
    addGauge(name: string, help: string, read: () => number): void {
        new Gauge({
            name,
            help,
            registers: [this.registry],
            collect() {
                this.set(read());
            },
        });
    }
}
