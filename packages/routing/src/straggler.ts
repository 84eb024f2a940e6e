export interface StragglerOptions {
    /** Largest share of endpoints that may be ejected at once. */
    maxEjectedShare?: number;
    /** An endpoint this many times slower than the median of its peers loses weight. */
    slowFactor?: number;
    /** An endpoint this many times slower is ejected, if the cap allows. */
    ejectFactor?: number;
    /** Probation after an ejection, in milliseconds. */
    probationMs?: number;
    /** Time over which an endpoint's weight grows back to 1, in milliseconds. */
    slowStartMs?: number;
}

interface EndpointHealth {
    /** Moving average of the time to the first byte, in milliseconds. */
    latencyMs: number;
    samples: number;
    consecutiveFailures: number;
    ejectedUntil: number;
    admittedAt: number;
}

const DEFAULTS: Required<StragglerOptions> = {
    maxEjectedShare: 0.34,
    slowFactor: 1.8,
    ejectFactor: 6,
    probationMs: 5000,
    slowStartMs: 5000,
};
const AVERAGE_WEIGHT = 0.2;
const MIN_SAMPLES = 8;
const MIN_PEERS = 3;
const FAILURES_TO_EJECT = 5;
const PROBATION_WEIGHT = 0.1;

/** Compares endpoints with their peers: slow ones get less work, very slow or failing ones none for a while. */
export class StragglerDetector {
    private readonly options: Required<StragglerOptions>;
    private readonly endpoints = new Map<string, EndpointHealth>();

    constructor(options: StragglerOptions = {}) {
        this.options = { ...DEFAULTS, ...options };
    }

    /** Makes an endpoint known; its weight grows from a small value. */
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
            : health.latencyMs + AVERAGE_WEIGHT * (latencyMs - health.latencyMs);
        const median = this.computePeerMedian(id);
        if (
            median !== undefined && health.samples >= MIN_SAMPLES
            && health.latencyMs > median * this.options.ejectFactor
        ) {
            this.eject(health, now);
        }
    }

    /** Records a request that the endpoint failed. */
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

    /** Whether the endpoint gets no work now. */
    isEjected(id: string, now: number): boolean {
        return (this.endpoints.get(id)?.ejectedUntil ?? 0) > now;
    }

    /** Share of work for the endpoint, between 0 and 1. */
    computeWeight(id: string, now: number): number {
        const health = this.endpoints.get(id);
        if (health === undefined) {
            return 1;
        }
        const grown = Math.min(1, PROBATION_WEIGHT + (now - health.admittedAt) / this.options.slowStartMs);
        const median = this.computePeerMedian(id);
        if (
            median === undefined || health.samples < MIN_SAMPLES || health.latencyMs <= median * this.options.slowFactor
        ) {
            return grown;
        }
        return grown * median / health.latencyMs;
    }

    private eject(health: EndpointHealth, now: number): void {
        const ejected = [...this.endpoints.values()].filter(other => other.ejectedUntil > now).length;
        if (health.ejectedUntil > now || ejected + 1 > this.endpoints.size * this.options.maxEjectedShare) {
            return;
        }
        health.ejectedUntil = now + this.options.probationMs;
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
