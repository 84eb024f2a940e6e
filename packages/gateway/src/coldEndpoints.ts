import { ColdBoard } from "@kumquathall/endpoint-limits";
import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { Logger } from "@kumquathall/logger";
import type { ColdFact, ColdProfile, ColdWant, TrafficService } from "@kumquathall/types";

/** Most requests that a cold endpoint may receive in any second: its rate times `factor`, plus `slack`. */
export interface ColdBounds {
    factor: number;
    slack: number;
}

/** What reports say of the cold time of an endpoint. */
export type ColdView = Pick<EndpointView, "service" | "dataCentre" | "heartbeatAt" | "coldUntil">;

export interface ColdEndpointsOptions {
    logger: Logger;
    findView: (endpoint: string) => ColdView | undefined;
    getService: (name: string) => TrafficService | undefined;
    /** Whether any service declares a cold time; without one, nothing is looked up. */
    isDeclared?: () => boolean;
    /** Whether a control member is linked that has sent what it knows of the endpoints. */
    hasContact: () => boolean;
    /** Counts the gateways that share the limits. */
    countGateways: () => number;
    /** Sends facts to all linked control members. */
    sendAll: (facts: ColdFact[]) => void;
    /** Called once when an endpoint is found to be cold. */
    onCold?: (endpoint: string) => void;
    bounds?: ColdBounds;
}

/** The rate of an endpoint that is cold, or may be cold without this gateway knowing. */
export interface ColdRate {
    perSecond: number;
    /** Whether reports say that it is cold; otherwise the gateway has no contact to control, and it may be. */
    isKnown: boolean;
}

export const DEFAULT_COLD_BOUNDS: ColdBounds = { factor: 1.5, slack: 5 };
const MS_PER_SECOND = 1000;
/** Granted permits within one second, as a multiple of the rate: one second, 0.1 s accumulated and 0.2 s valid. */
const GRANTED_FACTOR = 1.3;
/**
 * Part of the bound that permits and the requests before them use; the rest is for gateways without contact, for those
 * that report what they have sent after the first permits are granted, and for those with more than their share of requests.
 */
const GRANTED_PART = 0.9;
/** Part of the bound that gateways share if there are more of them than it has requests, as their times vary. */
const RANDOM_PART = 0.6;
/** Longest time for which a request counts against a gateway's share, in milliseconds. */
const MAX_SHARE_WINDOW_MS = 10_000;
/** Time after which the end of a cold time is checked, in milliseconds. */
const END_MARGIN_MS = 1;

/**
 * Decides which endpoints are cold, from heartbeats, responses, returns of data centres and lost contact, and counts what
 * this gateway sends to endpoints that may become cold. Active only for services that declare a cold time.
 */
export class ColdEndpoints {
    private readonly board = new ColdBoard();
    /** Endpoints that are known to be cold, with the timers that check their ends. */
    private readonly colds = new Map<string, NodeJS.Timeout>();
    /** Times at which requests were sent without a permit, within the time for which shares count. */
    private readonly sends = new Map<string, number[]>();
    /** Local monotonic times at which data centres returned from an evacuation, in milliseconds. */
    private readonly returns = new Map<string, number>();
    /** Most gateways that were counted of late; the count falls while others lose contact, who serve on. */
    private readonly gatewayCounts = new RecentMaximum();

    constructor(private readonly options: ColdEndpointsOptions) {}

    /** Finds the rate of an endpoint that is cold or may be; `undefined` if it takes any number of requests. */
    findRate(endpoint: string, now: number): ColdRate | undefined {
        const cold = this.findProfile(endpoint);
        if (cold === undefined) {
            return undefined;
        }
        this.gatewayCounts.record(this.options.countGateways(), now);
        const leftMs = this.computeLeftMs(endpoint, now);
        this.recordState(endpoint, leftMs, cold);
        const isKnown = leftMs > 0;
        return isKnown || !this.options.hasContact() ? { perSecond: this.computeRate(cold), isKnown } : undefined;
    }

    /** Checks whether an endpoint of which a report has arrived is cold. */
    check(endpoint: string, now: number): void {
        this.findRate(endpoint, now);
    }

    /** Records that a response of an endpoint says that it stays cold for `coldMs`. */
    recordResponse(endpoint: string, coldMs: number, now: number): void {
        const fact = this.applyProfile({ endpoint, coldMs, ageMs: 0 });
        if (this.findProfile(endpoint) !== undefined && this.board.record(fact, now)) {
            this.options.sendAll([fact]);
            this.check(endpoint, now);
        }
    }

    /** Records what control has received from other gateways. */
    record(facts: ColdFact[], now: number): void {
        facts.map(fact => this.applyProfile(fact))
            .filter(fact => this.board.record(fact, now))
            .forEach(fact => this.check(fact.endpoint, now));
    }

    /**
     * Records that the evacuation of a data centre was withdrawn at a local monotonic time. Its endpoints count as cold
     * until a heartbeat that is received later says otherwise, at most for the cold time of their service.
     */
    recordReturn(dataCentre: string, returnedAt: number): void {
        this.returns.set(dataCentre, returnedAt);
    }

    /** Number of endpoints that are known to be cold. */
    count(): number {
        return this.colds.size;
    }

    /** Most gateways that have been counted of late, which may all send. */
    countGateways(now: number): number {
        return Math.max(1, this.options.countGateways(), this.gatewayCounts.get(now));
    }

    /** Records a request that is sent without a permit to an endpoint that may become cold unnoticed. */
    recordSend(endpoint: string, now: number): void {
        const cold = this.findProfile(endpoint);
        if (cold !== undefined) {
            const since = now - this.computeShare(cold, now).windowMs;
            this.sends.set(endpoint, [...(this.sends.get(endpoint) ?? []).filter(at => at > since), now]);
        }
    }

    /**
     * Counts what this gateway has lately sent an endpoint if that is at least its even share of what the endpoint may
     * receive if it becomes cold before control knows, otherwise 0. Endpoints with the lowest count are preferred.
     */
    countAboveShare(endpoint: string, now: number): number {
        const times = this.sends.get(endpoint);
        const cold = times === undefined ? undefined : this.findProfile(endpoint);
        if (times === undefined || cold === undefined) {
            return 0;
        }
        const { requests, windowMs } = this.computeShare(cold, now);
        const sent = times.filter(at => at > now - windowMs).length;
        return sent < requests ? 0 : sent;
    }

    /** Whether requests were sent without a permit of which control has not been told. */
    hasUnreported(endpoint: string, now: number): boolean {
        return this.countUnreported(endpoint, now) > 0;
    }

    /**
     * Builds what a want of permits says of an endpoint that is known to be cold. What was sent before counts as unreported
     * until {@link recordReported}, since the call may fail.
     */
    buildWant(endpoint: string, now: number): ColdWant | undefined {
        const rate = this.findRate(endpoint, now);
        const cold = this.findProfile(endpoint);
        if (rate?.isKnown !== true || cold === undefined) {
            return undefined;
        }
        const sent = this.countUnreported(endpoint, now);
        return { perSecond: rate.perSecond, maxInSecond: GRANTED_PART * this.computeBound(cold), sent };
    }

    /** Records that control has answered a want that was built at `builtAt`. */
    recordReported(endpoint: string, builtAt: number): void {
        const later = this.sends.get(endpoint)?.filter(at => at > builtAt) ?? [];
        if (later.length === 0) {
            this.sends.delete(endpoint);
        }
        else {
            this.sends.set(endpoint, later);
        }
    }

    /** Removes what no longer counts. */
    removeStale(now: number): void {
        this.board.removeEnded(now);
        for (const [endpoint, times] of this.sends) {
            if (now - times[times.length - 1] > MAX_SHARE_WINDOW_MS) {
                this.sends.delete(endpoint);
            }
        }
    }

    close(): void {
        this.colds.forEach(timer => clearTimeout(timer));
        this.colds.clear();
    }

    private findProfile(endpoint: string): ColdProfile | undefined {
        if (this.options.isDeclared?.() === false) {
            return undefined;
        }
        const view = this.options.findView(endpoint);
        return view === undefined ? undefined : this.options.getService(view.service)?.cold;
    }

    /**
     * Limits a cold time to the one that the service declares. The board compares ends, so that a longer one would hide
     * every report that comes before its end.
     */
    private applyProfile(fact: ColdFact): ColdFact {
        const maxMs = this.findProfile(fact.endpoint)?.durationMs ?? Number.POSITIVE_INFINITY;
        return { ...fact, coldMs: Math.min(maxMs, fact.coldMs) };
    }

    /** Computes how long an endpoint stays cold by the latest end that any source names, in milliseconds; at least 0. */
    private computeLeftMs(endpoint: string, now: number): number {
        const view = this.options.findView(endpoint);
        const cold = this.findProfile(endpoint);
        if (view === undefined || cold === undefined) {
            return 0;
        }
        const returnedAt = this.returns.get(view.dataCentre) ?? Number.NEGATIVE_INFINITY;
        const ends = [
            view.coldUntil ?? now,
            this.board.findEnd(endpoint, cold.durationMs) ?? now,
            view.heartbeatAt <= returnedAt ? returnedAt + cold.durationMs : now,
        ];
        return Math.max(0, Math.max(...ends) - now);
    }

    private recordState(endpoint: string, leftMs: number, cold: ColdProfile): void {
        if (leftMs > 0 && !this.colds.has(endpoint)) {
            this.scheduleEnd(endpoint, leftMs);
            const { logger, onCold } = this.options;
            logger.info("endpoint-cold", { endpoint, leftMs: Math.round(leftMs), perSecond: cold.perSecond });
            onCold?.(endpoint);
        }
        else if (leftMs === 0 && this.colds.has(endpoint)) {
            this.recordEnd(endpoint);
        }
    }

    private scheduleEnd(endpoint: string, leftMs: number): void {
        const checkEnd = () => {
            const renewedMs = this.computeLeftMs(endpoint, performance.now());
            if (renewedMs > 0) {
                this.scheduleEnd(endpoint, renewedMs);
            }
            else {
                this.recordEnd(endpoint);
            }
        };
        this.colds.set(endpoint, setTimeout(checkEnd, leftMs + END_MARGIN_MS));
    }

    private recordEnd(endpoint: string): void {
        clearTimeout(this.colds.get(endpoint));
        this.colds.delete(endpoint);
        this.options.logger.info("endpoint-warm", { endpoint });
    }

    /** Computes the rate at which permits are granted: the declared one, unless the bound on a second is below it. */
    private computeRate(cold: ColdProfile): number {
        return Math.min(cold.perSecond, Math.max(1, this.computeBound(cold) - 1) / GRANTED_FACTOR);
    }

    /** Computes this gateway's even share: a number of requests, and the time in which it may send them. */
    private computeShare(cold: ColdProfile, now: number): { requests: number; windowMs: number } {
        const gateways = this.countGateways(now);
        const bound = GRANTED_PART * this.computeBound(cold);
        if (bound >= gateways) {
            return { requests: Math.floor(bound / gateways), windowMs: MS_PER_SECOND };
        }
        const windowMs = MS_PER_SECOND * gateways / Math.max(1, RANDOM_PART * bound);
        return { requests: 1, windowMs: Math.min(MAX_SHARE_WINDOW_MS, windowMs) };
    }

    private countUnreported(endpoint: string, now: number): number {
        return this.sends.get(endpoint)?.filter(at => at > now - MS_PER_SECOND).length ?? 0;
    }

    private computeBound(cold: ColdProfile): number {
        const { factor, slack } = this.options.bounds ?? DEFAULT_COLD_BOUNDS;
        return cold.perSecond * factor + slack;
    }
}

/** Time for which the largest number is kept, in milliseconds, in two parts of this length. */
const KEEP_MAXIMUM_MS = 60_000;

/** The largest of the numbers recorded within the last one to two minutes. */
class RecentMaximum {
    private startedAt = Number.NEGATIVE_INFINITY;
    private current = 0;
    private former = 0;

    record(value: number, now: number): void {
        this.advance(now);
        this.current = Math.max(this.current, value);
    }

    get(now: number): number {
        this.advance(now);
        return Math.max(this.current, this.former);
    }

    private advance(now: number): void {
        if (now - this.startedAt >= KEEP_MAXIMUM_MS) {
            this.former = now - this.startedAt >= 2 * KEEP_MAXIMUM_MS ? 0 : this.current;
            this.current = 0;
            this.startedAt = now;
        }
    }
}
