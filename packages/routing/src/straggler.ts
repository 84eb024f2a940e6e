export interface StragglerOptions {
    /** Largest fraction of endpoints that may be ejected at the same time. */
    maxEjectedShare?: number;
    /** Ratio to the median latency of its peers above which an endpoint's weight is reduced. */
    slowFactor?: number;
    /** Ratio to the median latency of its peers above which an endpoint is ejected, if `maxEjectedShare` allows. */
    ejectFactor?: number;
    /** Duration of an ejection, in milliseconds. */
    ejectionMs?: number;
    /** Time in which the weight of a new or readmitted endpoint grows to 1, in milliseconds. */
    slowStartMs?: number;
}

interface EndpointHealth {
    /** Moving average of the time to the first byte, in milliseconds. */
    latencyMs: number;
    samples: number;
    consecutiveFailures: number;
    ejectedUntil: number;
    /** Time from which the weight grows. */
    admittedAt: number;
}

const DEFAULTS: Required<StragglerOptions> = {
    maxEjectedShare: 0.34,
    slowFactor: 1.8,
    ejectFactor: 6,
    ejectionMs: 5000,
    slowStartMs: 5000,
};
/** Weight of the newest sample in the moving average of latencies. */
const LATENCY_SAMPLE_WEIGHT = 0.2;
const MIN_SAMPLES = 8;
const MIN_PEERS = 3;
const FAILURES_TO_EJECT = 5;
const INITIAL_WEIGHT = 0.1;

/** Outlier detection: reduces the weight of endpoints slower than their peers, and ejects very slow or failing ones. */
export class StragglerDetector {
    private readonly options: Required<StragglerOptions>;
    private readonly endpoints = new Map<string, EndpointHealth>();

    constructor(options: StragglerOptions = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    /** Adds an endpoint. Its weight starts low and grows during the slow start. */
    addEndpoint(id: string, now: number): void {
        this.endpoints.set(id, { latencyMs: 0, samples: 0, consecutiveFailures: 0, ejectedUntil: 0, admittedAt: now });
    }

    removeEndpoint(id: string): void {
        this.endpoints.delete(id);
    }

    /** Records the time to the first byte of a request that the endpoint answered. */
    recordSuccess(id: string, latencyMs: number, now: number): void {
        const health = this.endpoints.get(id);
        if (health === undefined) {
            return;
        }
        health.consecutiveFailures = 0;
        health.samples++;
        health.latencyMs = health.samples === 1
            ? latencyMs
            : health.latencyMs + LATENCY_SAMPLE_WEIGHT * (latencyMs - health.latencyMs);
        const median = this.computePeerMedian(id);
        if (
            median !== undefined && health.samples >= MIN_SAMPLES
            && health.latencyMs > median * this.options.ejectFactor
        ) {
            this.eject(health, now);
        }
    }

    /** Records a request that failed at the endpoint. */
    recordFailure(id: string, now: number): void {
        const health = this.endpoints.get(id);
        if (health === undefined) {
            return;
        }
        health.consecutiveFailures++;
        if (health.consecutiveFailures >= FAILURES_TO_EJECT) {
            this.eject(health, now);
        }
    }

    /** Whether the endpoint is ejected now and should receive no requests. */
    isEjected(id: string, now: number): boolean {
        return (this.endpoints.get(id)?.ejectedUntil ?? 0) > now;
    }

    /** Computes the endpoint's weight, between 0 and 1: reduced during the slow start and for stragglers. */
    computeWeight(id: string, now: number): number {
        const health = this.endpoints.get(id);
        if (health === undefined) {
            return 1;
        }
        const slowStartWeight = Math.min(1, INITIAL_WEIGHT + (now - health.admittedAt) / this.options.slowStartMs);
        const median = this.computePeerMedian(id);
        if (
            median === undefined || health.samples < MIN_SAMPLES || health.latencyMs <= median * this.options.slowFactor
        ) {
            return slowStartWeight;
        }
        return slowStartWeight * median / health.latencyMs;
    }

    private eject(health: EndpointHealth, now: number): void {
        const ejectedCount = [...this.endpoints.values()].filter(other => other.ejectedUntil > now).length;
        if (health.ejectedUntil > now || ejectedCount + 1 > this.endpoints.size * this.options.maxEjectedShare) {
            return;
        }
        health.ejectedUntil = now + this.options.ejectionMs;
        health.admittedAt = health.ejectedUntil;
        health.samples = 0;
        health.consecutiveFailures = 0;
    }

    private computePeerMedian(id: string): number | undefined {
        const latencies: number[] = [];
        for (const [other, health] of this.endpoints) {
            if (other !== id && health.samples >= MIN_SAMPLES) {
                latencies.push(health.latencyMs);
            }
        }
        if (latencies.length < MIN_PEERS) {
            return undefined;
        }
        latencies.sort((left, right) => left - right);
        return latencies[Math.floor(latencies.length / 2)];
    }
}
