import type { ConsensusRuntime } from "@kumquathall/consensus";
import { getTraffic } from "@kumquathall/control-state";
import { EndpointRegistry } from "@kumquathall/endpoint-registry";
import { LoadBudget, planEngineOrders, type PlannedOrder } from "@kumquathall/engine-groups";
import type { Link } from "@kumquathall/link";
import type { Logger } from "@kumquathall/logger";
import type {
    Command,
    CommandResult,
    EndpointFact,
    ObservationFact,
    OrderMessage,
    TrafficService,
} from "@kumquathall/types";
import type { ControlMachine } from "./controlMachine.js";
import { OrderLedger } from "./orderLedger.js";
import { isFleetSettled } from "./settling.js";

export interface EndpointTaskOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    machine: ControlMachine;
    logger: Logger;
}

const TICK_MS = 40;
/** Facts within this time reach watchers together, in milliseconds: those that change who serves, and those of load only. */
const CHANGE_COALESCE_MS = 5;
const LOAD_COALESCE_MS = 50;
/** After this long every sidecar has linked to a new leader, in milliseconds: two dials at the longest pause, and a report. */
const HEARD_OUT_MS = 5000;
/** Longer than an endpoint is expected to be cut off from control while it serves, in milliseconds. */
const LONG_HEARD_MS = 15_000;
/** Joins that a former leader ordered show by then, in milliseconds: those without a load take less. */
const FORMER_ORDERS_MS = 2000;
/** Endpoints are forgotten after this much silence, in milliseconds; a cut shorter than that loses nothing. */
const FORGET_AFTER_MS = 60_000;
/** Epochs of one term; more than a leader gives in its time. */
const EPOCHS_PER_TERM = 2 ** 24;
/** Time beyond the formation until the head's report shows that it serves, in milliseconds. */
const OPEN_MARGIN_MS = 500;
/** Role of the processes beside endpoints, as they greet. */
export const SIDECAR_ROLE = "sidecar";

/** Knows all endpoints, tells entries of them and, while this member leads, gives engines their orders. */
export class EndpointTask {
    private readonly registry = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    private readonly watchers = new Set<Link>();
    /** Links of sidecars by the address of their endpoint. */
    private readonly sidecars = new Map<string, Link>();
    private readonly orders = new OrderLedger();
    private readonly budgets = new Map<string, LoadBudget>();
    private pending: EndpointFact[] = [];
    private flushTimer: NodeJS.Timeout | undefined;
    private flushDueAt = Number.POSITIVE_INFINITY;
    private isTrafficSeen = false;
    /** Endpoints heard since this process started, when the first was, and when the newest first was. */
    private readonly known = new Set<string>();
    private knownSince: number | undefined;
    private knownChangedAt = 0;
    private leadsSince = 0;
    private term = 0;
    private epochCount = 0;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: EndpointTaskOptions) {
        this.timer = setInterval(() => this.decide(performance.now()), TICK_MS);
    }

    /** Records a fact and passes news on to watchers; returns whether it was news. */
    record(fact: EndpointFact): boolean {
        const before = fact.kind === "observation" ? this.registry.getObservation(fact.address) : undefined;
        const now = performance.now();
        if (fact.kind === "heartbeat") {
            this.recordEndpoint(fact.id, now);
        }
        const isNews = this.registry.record(fact, now);
        if (isNews && (fact.kind !== "observation" || this.isRelay())) {
            this.pending.push(fact);
            const isLoadOnly = (fact.kind === "heartbeat" && !fact.isLeaving)
                || (fact.kind === "observation" && before !== undefined && isSameShape(before, fact));
            this.scheduleFlush(isLoadOnly ? LOAD_COALESCE_MS : CHANGE_COALESCE_MS);
        }
        return isNews;
    }

    private scheduleFlush(withinMs: number): void {
        const dueAt = performance.now() + withinMs;
        if (dueAt >= this.flushDueAt) {
            return;
        }
        clearTimeout(this.flushTimer);
        this.flushDueAt = dueAt;
        this.flushTimer = setTimeout(() => this.flush(), withinMs);
    }

    getBornMs(id: string): number {
        return this.registry.getBornMs(id);
    }

    /** Registers a link for all news and returns what is known so far. */
    watch(link: Link): EndpointFact[] {
        this.watchers.add(link);
        return this.registry.listFacts();
    }

    countWatchers(): number {
        return this.watchers.size;
    }

    /** An entry has seen a caller's request: loads are no longer quick. */
    recordTraffic(teller: string): void {
        if (!this.isTrafficSeen) {
            this.isTrafficSeen = true;
            this.options.logger.info("traffic-begun", { teller });
        }
    }

    /** Whether callers have sent requests, as far as this process was told. */
    hasTraffic(): boolean {
        return this.isTrafficSeen;
    }

    addLink(link: Link): void {
        if (link.peer?.role === SIDECAR_ROLE) {
            this.sidecars.set(link.peer.id, link);
        }
    }

    removeLink(link: Link): void {
        this.watchers.delete(link);
        if (link.peer !== undefined && this.sidecars.get(link.peer.id) === link) {
            this.sidecars.delete(link.peer.id);
        }
    }

    close(): void {
        clearInterval(this.timer);
        clearTimeout(this.flushTimer);
    }

    /** One member passes observations on: the leader, or any that knows none. */
    private isRelay(): boolean {
        const { leaderId, id } = this.options.runtime.getState();
        return leaderId === undefined || leaderId === id;
    }

    private flush(): void {
        this.flushDueAt = Number.POSITIVE_INFINITY;
        const facts = this.pending;
        this.pending = [];
        for (const link of this.watchers) {
            link.cast({ kind: "endpointFacts", facts });
        }
    }

    private decide(now: number): void {
        this.registry.expire(now).forEach(id => this.known.delete(id));
        const { runtime, machine } = this.options;
        if (!runtime.canServe()) {
            this.orders.clear();
            this.leadsSince = now;
            return;
        }
        const { term } = runtime.getState().hardState;
        if (term !== this.term) {
            this.term = term;
            this.epochCount = 0;
            this.orders.clear();
            this.budgets.clear();
        }
        const services = getTraffic(machine.getState().configuration)?.traffic.services ?? [];
        for (const service of services) {
            this.planService(service, now);
        }
    }

    private planService(service: TrafficService, now: number): void {
        const { engine } = service;
        if (engine === undefined) {
            return;
        }
        const views = this.registry.listViews().filter(view => view.service === service.name);
        views.forEach(view => this.orders.compareReport(view, now));
        const budget = this.budgets.get(service.name) ?? new LoadBudget({
            loadsPerSecond: engine.loadsPerSecond,
            maxConcurrent: engine.maxConcurrentLoads,
        }, now);
        this.budgets.set(service.name, budget);
        const planned = planEngineOrders({
            views,
            profile: engine,
            now,
            isBeforeTraffic: !this.isTrafficSeen,
            isSettled: isFleetSettled({
                views,
                now,
                firstHeardAt: this.knownSince,
                newestHeardAt: this.knownChangedAt,
            }),
            hasCompleteView: this.isHeardOut(now),
            isPartitionWindowOver: this.knownSince !== undefined && now - this.knownSince > LONG_HEARD_MS,
            fence: this.term,
            createEpoch: () => this.term * EPOCHS_PER_TERM + ++this.epochCount,
            isOrderPending: view => this.orders.isPending(view, now),
            admitLoad: (durationMs, keptFree) => !this.isTrafficSeen || budget.admitLoad(now, durationMs, keptFree),
            getOrderedMembers: key => this.orders.getMembers(key),
            isOpening: key => this.orders.isOpening(key, now, engine.formationMs + OPEN_MARGIN_MS),
            getStagingModel: view => this.orders.getStaging(view),
        });
        planned.forEach(item => this.sendOrder(item, now));
    }

    /** Every sidecar has had time to link, and what a former leader ordered has had time to show. */
    private isHeardOut(now: number): boolean {
        return this.knownSince !== undefined && now - this.knownSince > HEARD_OUT_MS
            && now - this.leadsSince > FORMER_ORDERS_MS;
    }

    private recordEndpoint(id: string, now: number): void {
        if (!this.known.has(id)) {
            this.known.add(id);
            this.knownSince ??= now;
            this.knownChangedAt = now;
        }
    }

    private sendOrder(planned: PlannedOrder, now: number): void {
        const { target, order, reason } = planned;
        const link = this.sidecars.get(target.address);
        if (link === undefined) {
            return;
        }
        this.orders.recordOrder(target, order, now);
        const message: OrderMessage = { kind: "order", address: target.address, bornMs: target.bornMs, order };
        link.cast(message);
        this.options.logger.info("engine-order", {
            endpoint: target.id,
            address: target.address,
            order: order.kind,
            group: "group" in order ? order.group : undefined,
            epoch: "epoch" in order ? order.epoch : undefined,
            model: "model" in order ? order.model : undefined,
            sequence: order.expectedSequence,
            reportAgeMs: Math.round(now - target.engineReportedAt),
            reason,
        });
    }
}

/** Whether two observations differ in load only. */
function isSameShape(left: ObservationFact, right: ObservationFact): boolean {
    const leftGroup = left.engine?.group;
    const rightGroup = right.engine?.group;
    return left.isReachable === right.isReachable && left.bornMs === right.bornMs
        && leftGroup?.epoch === rightGroup?.epoch
        && leftGroup?.state === rightGroup?.state;
}
