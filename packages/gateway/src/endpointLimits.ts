import { LimitBoard } from "@kumquathall/endpoint-limits";
import { describeError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import type { LimitFact, NamedLimit, PermitGrant, PermitWant } from "@kumquathall/types";
import type { ColdEndpoints, ColdRate } from "./coldEndpoints.js";
import { PermitStock } from "./permitStock.js";

/** What a valid response shows of its endpoint's limit. */
export interface LimitResponse {
    /** The incarnation that responds, as its id and start time. */
    endpoint: string;
    /** Monotonic time at which its request was sent, in milliseconds. */
    sentAt: number;
    limit: NamedLimit | undefined;
}

export interface EndpointLimitsOptions {
    logger: Logger;
    /** Sends facts to all linked control members. */
    sendAll: (facts: LimitFact[]) => void;
    /** Asks the leading control member for permits; rejects if none answers. */
    takePermits: (wants: PermitWant[]) => Promise<PermitGrant[]>;
    /** Counts the gateways that share the limits. */
    countGateways: () => number;
    /** The endpoints that are cold; none if not set. */
    cold?: ColdEndpoints;
    /** Random number in [0, 1). */
    random?: () => number;
}

/** Limits that are not numbers are logged for each endpoint at this interval, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;
/** Endpoints whose invalid limits are remembered as logged. */
const MAX_INVALID = 1000;
/** Facts within this time are sent to control together, in milliseconds. */
const COALESCE_MS = 5;
/** Time for each fact that was sent before more are sent, in milliseconds. */
const PACE_MS = 10;
/** Interval between calls for permits for each gateway that shares the leader, in milliseconds: 1000 calls a second. */
const CALL_INTERVAL_PER_GATEWAY_MS = 1;
/** A call for more endpoints than this lengthens the interval, so that links carry a bounded number of them. */
const WANTS_PER_INTERVAL = 10;
/** Endpoints in one call; those that most requests want come first. */
const MAX_WANTS = 64;
/** Age of a limit of which the gateway knows nothing: it says nothing of any that control knows, in milliseconds. */
const UNKNOWN_AGE_MS = 24 * 60 * 60 * 1000;
/** Interval between calls while no leader answers, in milliseconds. */
const DETACHED_CALL_INTERVAL_MS = 250;

/**
 * The limits that endpoints name in their responses, and this gateway's permits to send to limited endpoints. The leading
 * control member grants the permits. While none can be reached, this gateway uses an even share of each limit.
 */
export class EndpointLimits {
    private readonly board = new LimitBoard();
    private readonly stocks = new Map<string, PermitStock>();
    /** Stocks of which requests have wanted permits since the last call. */
    private readonly wanted = new Map<string, PermitStock>();
    private readonly waiting = new Set<() => void>();
    /** Time of the last log line about an invalid limit, by endpoint. */
    private readonly invalidLoggedAt = new Map<string, number>();
    /** Newest facts that control has not been sent, by endpoint, with the time at which they were recorded. */
    private readonly unsent = new Map<string, { fact: LimitFact; at: number }>();
    private nextSendAt = 0;
    private sendTimer: NodeJS.Timeout | undefined;
    private callTimer: NodeJS.Timeout | undefined;
    private isCalling = false;
    private endedCalls = 0;
    private lastCallAt = Number.NEGATIVE_INFINITY;
    /** Number of endpoints in the last call. */
    private lastWants = 0;
    /** No leader answered the last call. */
    private isDetached = false;

    constructor(private readonly options: EndpointLimitsOptions) {}

    /** Records what a response shows. A limit that is not a number leaves the last valid one in force. */
    recordResponse(response: LimitResponse, now: number): void {
        const { endpoint, sentAt, limit } = response;
        if (limit === undefined) {
            if (this.board.isNamed(endpoint)) {
                this.recordOwn({ endpoint, perSecond: undefined, ageMs: now - sentAt }, now);
            }
        }
        else if (limit.perSecond === undefined) {
            this.reportInvalid(endpoint, limit.text, now);
        }
        else {
            this.recordOwn({ endpoint, perSecond: limit.perSecond, ageMs: 0 }, now);
        }
    }

    /** Records what control has received from other gateways. */
    record(facts: LimitFact[], now: number): void {
        facts.filter(fact => this.board.record(fact, now)).forEach(fact => this.reportChange(fact));
    }

    /** Lists the limits in force, for a control member that may know none of them. */
    listFacts(now: number): LimitFact[] {
        return this.board.listFacts(now);
    }

    /** Number of endpoints whose requests are limited. */
    count(now: number): number {
        return this.board.count(now);
    }

    /** Whether a request may be sent to an endpoint now. */
    hasPermit(endpoint: string, now: number): boolean {
        const limit = this.findLimit(endpoint, now);
        if (limit === undefined) {
            return true;
        }
        const stock = this.getOrCreateStock(endpoint);
        if (this.isDetached || limit.cold?.isKnown === false) {
            const { countGateways, random = Math.random, cold } = this.options;
            const gateways = limit.cold === undefined ? countGateways() : cold?.countGateways(now) ?? 1;
            stock.advanceShare(limit.perSecond / Math.max(1, gateways), random(), now);
        }
        return stock.has(now);
    }

    /** Uses a permit for a request that is sent. */
    takePermit(endpoint: string, now: number): void {
        if (this.findLimit(endpoint, now) !== undefined) {
            this.getOrCreateStock(endpoint).take(now);
        }
        else {
            this.options.cold?.recordSend(endpoint, now);
        }
    }

    /** Counts what was lately sent to an endpoint beyond this gateway's share, in case it becomes cold unnoticed. */
    countAboveColdShare(endpoint: string, now: number): number {
        return this.options.cold?.countAboveShare(endpoint, now) ?? 0;
    }

    /**
     * Records that a response says that its endpoint stays cold for `coldMs`; other gateways are informed through control.
     */
    recordCold(endpoint: string, coldMs: number, now: number): void {
        this.options.cold?.recordResponse(endpoint, coldMs, now);
    }

    /** Drops the permits of an endpoint that has become cold, and informs control of what was sent to it before. */
    restartPermits(endpoint: string, now: number): void {
        const stock = this.getOrCreateStock(endpoint);
        stock.clear();
        if (this.options.cold?.hasUnreported(endpoint, now) === true) {
            this.wanted.set(endpoint, stock);
            this.scheduleCall(now);
        }
    }

    /**
     * Calls for a permit for an endpoint that would be chosen, and of which this gateway has none. Returns the number of
     * calls that have ended: a request that chooses again before the next one ends passes it as `afterCall`, so that it
     * does not count twice.
     */
    askForPermit(endpoint: string, now: number, afterCall?: number): number {
        const stock = this.getOrCreateStock(endpoint);
        if (afterCall !== this.endedCalls) {
            stock.recordWant(now);
            this.wanted.set(endpoint, stock);
        }
        if (stock.isCallDue(now)) {
            this.scheduleCall(now);
        }
        return this.endedCalls;
    }

    /** Time until this gateway may have the next permit, in milliseconds; 0 if a call decides. */
    getWaitMs(endpoint: string, now: number): number {
        return this.getOrCreateStock(endpoint).getWaitMs(now);
    }

    /** Time after which a refused request can expect a permit, in milliseconds. */
    getRetryAfterMs(endpoint: string, now: number): number {
        return this.getOrCreateStock(endpoint).getRetryAfterMs(now);
    }

    /** Calls `wake` once after the next call for permits has ended. Returns a function that cancels this. */
    waitForPermits(wake: () => void): () => void {
        this.waiting.add(wake);
        return () => this.waiting.delete(wake);
    }

    /** Removes what is kept of endpoints that no longer exist. */
    removeStale(hasEndpoint: (endpoint: string) => boolean, now: number): void {
        this.board.removeStale(hasEndpoint, now);
        for (const endpoint of this.stocks.keys()) {
            if (this.findLimit(endpoint, now) === undefined) {
                this.stocks.delete(endpoint);
                this.wanted.delete(endpoint);
            }
        }
    }

    close(): void {
        clearTimeout(this.sendTimer);
        clearTimeout(this.callTimer);
        this.waiting.clear();
    }

    /** Finds the smaller of the limits that an endpoint names and that it has because it is cold. */
    private findLimit(endpoint: string, now: number): { perSecond: number; cold: ColdRate | undefined } | undefined {
        const named = this.board.get(endpoint, now)?.perSecond ?? Number.POSITIVE_INFINITY;
        const cold = this.options.cold?.findRate(endpoint, now);
        const perSecond = Math.min(named, cold?.perSecond ?? Number.POSITIVE_INFINITY);
        return Number.isFinite(perSecond) ? { perSecond, cold } : undefined;
    }

    private recordOwn(fact: LimitFact, now: number): void {
        if (!this.board.record(fact, now)) {
            return;
        }
        this.reportChange(fact);
        this.unsent.set(fact.endpoint, { fact, at: now });
        this.sendTimer ??= setTimeout(() => this.sendFacts(), Math.max(COALESCE_MS, this.nextSendAt - now));
    }

    private sendFacts(): void {
        this.sendTimer = undefined;
        const now = performance.now();
        const facts = [...this.unsent.values()].map(({ fact, at }) => ({ ...fact, ageMs: fact.ageMs + now - at }));
        this.unsent.clear();
        this.nextSendAt = now + facts.length * PACE_MS;
        this.options.sendAll(facts);
    }

    private reportChange({ endpoint, perSecond }: LimitFact): void {
        this.options.logger.info(perSecond === undefined ? "endpoint-limit-not-named" : "endpoint-limit-named", {
            endpoint,
            perSecond,
        });
    }

    private reportInvalid(endpoint: string, text: string, now: number): void {
        const loggedAt = this.invalidLoggedAt.get(endpoint);
        if (loggedAt !== undefined && now - loggedAt < INVALID_LOG_INTERVAL_MS) {
            return;
        }
        if (this.invalidLoggedAt.size >= MAX_INVALID) {
            this.invalidLoggedAt.clear();
        }
        this.invalidLoggedAt.set(endpoint, now);
        this.options.logger.warn("endpoint-limit-invalid", {
            endpoint,
            text,
            remedy: "name a decimal number of 0 or more",
        });
    }

    private getOrCreateStock(endpoint: string): PermitStock {
        const known = this.stocks.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const stock = new PermitStock();
        this.stocks.set(endpoint, stock);
        return stock;
    }

    private scheduleCall(now: number): void {
        if (this.isCalling) {
            return;
        }
        const intervalMs = this.isDetached
            ? DETACHED_CALL_INTERVAL_MS
            : this.options.countGateways() * CALL_INTERVAL_PER_GATEWAY_MS
                * Math.max(1, this.lastWants / WANTS_PER_INTERVAL);
        const delayMs = Math.max(0, this.lastCallAt + intervalMs - now);
        this.callTimer ??= setTimeout(() => void this.callForPermits(), delayMs);
    }

    private async callForPermits(): Promise<void> {
        this.callTimer = undefined;
        const calledAt = performance.now();
        const wants = this.collectWants(calledAt);
        if (wants.length === 0) {
            return;
        }
        this.lastCallAt = calledAt;
        this.lastWants = wants.length;
        this.isCalling = true;
        try {
            const grants = await this.options.takePermits(wants);
            this.applyGrants(grants, calledAt, performance.now());
            this.recordReported(wants, grants, calledAt);
        }
        catch (error) {
            this.recoverReports(wants);
            if (!this.isDetached) {
                this.options.logger.info("permits-not-granted", { message: describeError(error) });
            }
            this.isDetached = true;
        }
        this.isCalling = false;
        this.endedCalls++;
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(wake => wake());
        const now = performance.now();
        if ([...this.wanted].some(([endpoint, stock]) => this.mustCall(endpoint, stock, now))) {
            this.scheduleCall(now);
        }
    }

    private applyGrants(grants: PermitGrant[], calledAt: number, now: number): void {
        if (this.isDetached) {
            this.isDetached = false;
            this.stocks.forEach(stock => stock.clearShare());
        }
        grants.forEach(grant => this.getOrCreateStock(grant.endpoint).apply(grant, calledAt, now));
    }

    private recordReported(wants: PermitWant[], grants: PermitGrant[], builtAt: number): void {
        const granted = new Set(grants.map(grant => grant.endpoint));
        wants.filter(want => want.cold !== undefined && granted.has(want.endpoint))
            .forEach(want => this.options.cold?.recordReported(want.endpoint, builtAt));
    }

    /** Wants again what carries requests of which control must be told, since a failed call may not have arrived. */
    private recoverReports(wants: PermitWant[]): void {
        wants.filter(({ cold }) => cold !== undefined && cold.sent > 0)
            .forEach(({ endpoint }) => this.wanted.set(endpoint, this.getOrCreateStock(endpoint)));
    }

    /** Whether control may have a permit that some request wants, or has to be told of requests without one. */
    private mustCall(endpoint: string, stock: PermitStock, now: number): boolean {
        const { cold } = this.options;
        const isReportDue = cold?.hasUnreported(endpoint, now) === true
            && cold.findRate(endpoint, now)?.isKnown === true;
        return isReportDue || stock.isCallDue(now);
    }

    /** Collects what requests have wanted since the last call. */
    private collectWants(now: number): PermitWant[] {
        const due = [...this.wanted].filter(([endpoint, stock]) => this.mustCall(endpoint, stock, now))
            .sort(([, left], [, right]) => right.wantedCount - left.wantedCount)
            .slice(0, MAX_WANTS);
        return due.flatMap(([endpoint, stock]) => {
            this.wanted.delete(endpoint);
            const fact = this.board.findFact(endpoint, now);
            const cold = this.options.cold?.buildWant(endpoint, now);
            if (cold !== undefined) {
                const unknown = { endpoint, perSecond: undefined, ageMs: UNKNOWN_AGE_MS };
                return [{ ...(fact ?? unknown), count: stock.collectWants(), cold }];
            }
            return fact === undefined ? [] : [{ ...fact, count: stock.collectWants() }];
        });
    }
}
