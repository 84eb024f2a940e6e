import type { ConsensusRuntime } from "@kumquathall/consensus";
import { ColdBoard, LimitArbiter } from "@kumquathall/endpoint-limits";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type { ColdFact, Command, CommandResult, ControlAnswer, LimitFact, PermitWant } from "@kumquathall/types";
import { GatewayContact } from "./gatewayContact.js";

export interface LimitTaskOptions {
    runtime: Pick<ConsensusRuntime<Command, CommandResult>, "getState" | "canServe">;
    logger: Logger;
    /** Whether an incarnation of an endpoint, as its id and start time, is known. */
    hasEndpoint: (endpoint: string) => boolean;
}

const STALE_CHECK_MS = 5000;
/** Changes within this time are sent to gateways together, in milliseconds. */
const COALESCE_MS = 5;
/** Time for each change that was sent before more are sent, in milliseconds: 10 KB/s on the link to a gateway. */
const PACE_MS = 5;
/** Changes in one cast. */
const MAX_CHANGES = 64;
/** Facts in one cast to a newly linked gateway. */
const MAX_FACTS = 512;

/**
 * Collects the limits that endpoints name and the cold times that their responses show, as gateways report them. Every
 * member does so and forwards changes to gateways, and the leader grants the permits to send to limited and cold endpoints.
 */
export class LimitTask {
    private readonly arbiter = new LimitArbiter();
    private readonly watchers = new Set<Link>();
    private readonly timer: NodeJS.Timeout;
    /** Endpoints whose limits have changed since the last cast to gateways. */
    private readonly changed = new Set<string>();
    private readonly colds = new ColdBoard();
    /** Endpoints whose cold times have changed since the last cast to gateways. */
    private readonly changedColds = new Set<string>();
    private readonly contact = new GatewayContact();
    private nextFlushAt = 0;
    private flushTimer: NodeJS.Timeout | undefined;
    /** Term in which permits are granted. */
    private term: number | undefined;

    constructor(private readonly options: LimitTaskOptions) {
        this.timer = setInterval(
            () => {
                this.arbiter.removeStale(options.hasEndpoint, performance.now());
                this.colds.removeEnded(performance.now());
            },
            STALE_CHECK_MS,
        );
    }

    /** Records facts; those that change a limit are forwarded to gateways. */
    record(facts: LimitFact[]): void {
        const now = performance.now();
        const changes = this.arbiter.record(facts, now);
        if (changes.length === 0 || !this.isRelay()) {
            return;
        }
        for (const fact of changes) {
            const { endpoint, perSecond } = fact;
            this.options.logger.info("endpoint-limit-changed", { endpoint, perSecond: perSecond ?? "unlimited" });
            this.changed.add(endpoint);
        }
        this.scheduleFlush(now);
    }

    /** Records which endpoints are cold; changes are forwarded to gateways. */
    recordColds(facts: ColdFact[]): void {
        const now = performance.now();
        const changes = facts.filter(fact => this.colds.record(fact, now));
        if (changes.length > 0 && this.isRelay()) {
            changes.forEach(fact => this.changedColds.add(fact.endpoint));
            this.scheduleFlush(now);
        }
    }

    /** Sends the known limits and cold times to a gateway, and changes from now on. */
    watch(link: Link): void {
        this.watchers.add(link);
        if (link.peer !== undefined) {
            this.contact.add(link.peer.id);
        }
        const colds = this.colds.listFacts(performance.now());
        for (let at = 0; at < colds.length; at += MAX_FACTS) {
            link.cast({ kind: "coldEndpoints", facts: colds.slice(at, at + MAX_FACTS) });
        }
        const facts = this.arbiter.board.listFacts(performance.now());
        for (let at = 0; at < facts.length; at += MAX_FACTS) {
            link.cast({ kind: "endpointLimits", facts: facts.slice(at, at + MAX_FACTS) });
        }
    }

    removeLink(link: Link): void {
        if (this.watchers.delete(link) && link.peer !== undefined) {
            this.contact.remove(link.peer.id, performance.now());
        }
    }

    /** Grants permits if this member leads. */
    grant(gateway: string, wants: PermitWant[]): ControlAnswer {
        const { runtime } = this.options;
        const { leaderId, id, hardState: { term } } = runtime.getState();
        if (!runtime.canServe()) {
            return { kind: "notLeader", leader: leaderId === id ? undefined : leaderId };
        }
        if (term !== this.term) {
            // Another member may have granted permits since this one led last.
            this.term = term;
            this.arbiter.clear();
        }
        const now = performance.now();
        const part = this.contact.computeLinkedPart(now);
        return { kind: "permits", grants: this.arbiter.grant(gateway, wants, now, part) };
    }

    /** Requests a second that an endpoint accepts, as it named last; `undefined` if its requests are not limited. */
    getNamedLimit(endpoint: string): number | undefined {
        return this.arbiter.board.get(endpoint, performance.now())?.namedPerSecond;
    }

    close(): void {
        clearInterval(this.timer);
        clearTimeout(this.flushTimer);
    }

    private scheduleFlush(now: number): void {
        this.flushTimer ??= setTimeout(() => this.flush(), Math.max(COALESCE_MS, this.nextFlushAt - now));
    }

    private flush(): void {
        this.flushTimer = undefined;
        const now = performance.now();
        const colds = takeSome(this.changedColds).flatMap(endpoint => this.colds.findFact(endpoint, now) ?? []);
        const facts = takeSome(this.changed).flatMap(endpoint => this.arbiter.board.findFact(endpoint, now) ?? []);
        if (colds.length > 0) {
            this.watchers.forEach(link => link.cast({ kind: "coldEndpoints", facts: colds }));
        }
        if (facts.length > 0) {
            this.watchers.forEach(link => link.cast({ kind: "endpointLimits", facts }));
        }
        this.nextFlushAt = now + (colds.length + facts.length) * PACE_MS;
        if (this.changed.size + this.changedColds.size > 0) {
            this.scheduleFlush(now);
        }
    }

    /** Whether this member forwards changes: the leader does, and every member that knows no leader. */
    private isRelay(): boolean {
        const { leaderId, id } = this.options.runtime.getState();
        return leaderId === undefined || leaderId === id;
    }
}

/** Takes up to {@link MAX_CHANGES} endpoints out of a set. */
function takeSome(endpoints: Set<string>): string[] {
    const taken = [...endpoints].slice(0, MAX_CHANGES);
    taken.forEach(endpoint => endpoints.delete(endpoint));
    return taken;
}
