import type { ConsensusRuntime } from "@kumquathall/consensus";
import { getTraffic } from "@kumquathall/control-state";
import {
    EndpointRegistry,
    type EndpointView,
    FactEffect,
    findFactFault,
    pickFact,
} from "@kumquathall/endpoint-registry";
import {
    hasCompleteView,
    hasGroupFormedBefore,
    isFleetSettled,
    isPartitionWindowOver,
    LoadBudget,
    OrderTracker,
    planEngineOrders,
    type PlannedOrder,
} from "@kumquathall/engine-groups";
import { estimateServiceMs } from "@kumquathall/engine-model";
import { describeError } from "@kumquathall/errors";
import type { StartSteps } from "@kumquathall/kernel";
import { castToAll, type Link } from "@kumquathall/link";
import { InputFaultLog, type Logger } from "@kumquathall/logger";
import type {
    Command,
    CommandResult,
    EndpointFact,
    EngineModelProfile,
    EngineProfile,
    OrderMessage,
    TrafficService,
} from "@kumquathall/types";
import { computeAcceptedPart } from "./computeAcceptedPart.js";
import type { ControlStateMachine } from "./controlStateMachine.js";
import type { DemandTask } from "./demandTask.js";
import { FactFilter, hasOnlyLoadChange } from "./factFilter.js";

export interface EndpointTaskOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    stateMachine: ControlStateMachine;
    logger: Logger;
    /** Facts that can't be used are counted and logged here. */
    faults?: InputFaultLog;
    /** Requests a second that an incarnation (`ID@MS`) accepts; `undefined` if its requests are not limited. */
    getNamedLimit?: (endpoint: string) => number | undefined;
    /** Chooses the shares of models by the measured demand; the declared ones apply without it. */
    demand?: Pick<DemandTask, "choosePlan">;
    /** Whether a data centre is evacuated; none is by default. */
    isEvacuated?: (dataCentre: string) => boolean;
    /** Newest term that this member knew when its process started. */
    recoveredTerm?: number;
    /** Logs the steps from the start of this process to its first order. */
    steps?: StartSteps;
}

const TICK_MS = 40;
/** Time after a change in which orders are planned at each tick, in milliseconds: orders are sent again within it. */
const PLAN_EACH_TICK_MS = 1500;
/** Interval between plans while nothing changes, in milliseconds: loads, reports and orders expire. */
const QUIET_PLAN_INTERVAL_MS = 200;
/** Facts within this time are sent to watchers together, in milliseconds, if one changes which endpoints serve. */
const CHANGE_COALESCE_MS = 5;
/** The same for facts that change load only. */
const LOAD_COALESCE_MS = 50;
/** An endpoint without facts for this long is dropped, in milliseconds; a shorter partition loses no endpoint. */
const FORGET_AFTER_MS = 60_000;
const TOO_MANY = "more endpoints are known than may be";
/** Epochs reserved for each term; more than a leader creates in its term. */
const EPOCHS_PER_TERM = 2 ** 24;
/** Time from the end of a group's formation until the head reports that it serves, in milliseconds. */
const OPEN_MARGIN_MS = 500;
/** Facts in one message to a newly linked gateway. */
const MAX_FACTS = 1024;
/** Role name under which sidecars link to control. */
export const SIDECAR_ROLE = "sidecar";

/** Tracks all endpoints, forwards facts about them to watchers and, on the leader, sends orders to engines. */
export class EndpointTask {
    private readonly registry = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    private readonly watchers = new Set<Link>();
    /** Links of sidecars by the address of their endpoint. */
    private readonly sidecars = new Map<string, Link>();
    private readonly orders = new OrderTracker();
    private readonly budgets = new Map<string, LoadBudget>();
    private readonly filter = new FactFilter();
    /** When a fact last changed more than an endpoint's load, and when orders were last planned. */
    private changedAt = 0;
    private plannedAt = 0;
    private pending: EndpointFact[] = [];
    private flushTimer: NodeJS.Timeout | undefined;
    private flushDueAt = Number.POSITIVE_INFINITY;
    private isTrafficSeen = false;
    /** Endpoints that have sent a heartbeat since this process started. */
    private readonly known = new Set<string>();
    /** When the first endpoint appeared. */
    private firstSeenAt: number | undefined;
    /** When the most recent endpoint appeared. */
    private newestFirstSeenAt = 0;
    private leaderSince = 0;
    private term = 0;
    private epochCount = 0;
    private readonly timer: NodeJS.Timeout;
    private readonly faults: InputFaultLog;

    constructor(private readonly options: EndpointTaskOptions) {
        this.faults = options.faults ?? new InputFaultLog(options);
        this.timer = setInterval(() => this.decide(performance.now()), TICK_MS);
    }

    /**
     * Records a fact of a writer and forwards it to watchers if they need it; returns whether other members need it. A
     * fact that can't be used is dropped.
     */
    record(fact: EndpointFact, writer = ""): boolean {
        const now = performance.now();
        const reason = findFactFault(fact) ?? (this.registry.admit(fact, now) ? undefined : TOO_MANY);
        if (reason !== undefined) {
            this.faults.record({ kind: "endpoint-fact", reason, writer }, now);
            return false;
        }
        try {
            return this.recordUsable(pickFact(fact), now);
        }
        catch (error) {
            const message = describeError(error);
            this.faults.record({ kind: "endpoint-fact", reason: "its handling failed", writer, message }, now);
            return false;
        }
    }

    private recordUsable(fact: EndpointFact, now: number): boolean {
        if (fact.kind === "heartbeat") {
            this.recordEndpoint(fact.id, now);
        }
        const before = fact.kind === "observation" ? this.registry.getObservation(fact.address) : undefined;
        const effect = this.registry.record(fact, now);
        if (effect === FactEffect.None) {
            return false;
        }
        if (effect === FactEffect.State) {
            this.changedAt = now;
        }
        if ((fact.kind !== "observation" || this.isRelay()) && this.filter.mustForward(fact, before, effect, now)) {
            this.pending.push(fact);
            const isUrgent = fact.kind === "observation"
                ? !hasOnlyLoadChange(before, fact)
                : fact.kind === "departure" || fact.isLeaving;
            this.scheduleFlush(isUrgent ? CHANGE_COALESCE_MS : LOAD_COALESCE_MS);
        }
        return fact.kind !== "heartbeat" || this.filter.mustExchange(fact, effect, now);
    }

    /** Returns whether a fact may be recorded; `false` for an unknown endpoint if ids are too many. */
    admit(fact: EndpointFact): boolean {
        return this.registry.admit(fact, performance.now());
    }

    /** Lets a member that has linked anew receive the next heartbeat of each endpoint. */
    addMember(): void {
        this.filter.restartExchange();
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

    /** Whether an incarnation of an endpoint, as its id and start time, is known. */
    hasEndpoint(key: string): boolean {
        return this.registry.hasIncarnation(key);
    }

    /** Registers a link for all new facts and sends it those known so far. */
    watch(link: Link): void {
        this.watchers.add(link);
        const facts = this.registry.listFacts();
        for (let at = 0; at < facts.length; at += MAX_FACTS) {
            this.castFacts([link], facts.slice(at, at + MAX_FACTS));
        }
    }

    /** Lists the data centres of the known endpoints. */
    listDataCentres(): string[] {
        return [...new Set(this.registry.listViews().map(view => view.dataCentre))];
    }

    countWatchers(): number {
        return this.watchers.size;
    }

    /** Records that client requests have begun, as `reporterId` reports: from now on the load budget limits loads. */
    recordTraffic(reporterId: string): void {
        if (!this.isTrafficSeen) {
            this.isTrafficSeen = true;
            this.options.steps?.record("traffic");
            this.options.logger.info("traffic-begun", { teller: reporterId });
        }
    }

    /** Whether client requests have been reported to this process. */
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

    /** Whether this member forwards observations: the leader does, and every member that knows no leader. */
    private isRelay(): boolean {
        const { leaderId, id } = this.options.runtime.getState();
        return leaderId === undefined || leaderId === id;
    }

    private flush(): void {
        this.flushDueAt = Number.POSITIVE_INFINITY;
        const facts = this.pending;
        this.pending = [];
        this.castFacts([...this.watchers], facts);
    }

    /** Sends facts in one message, or in several if no frame holds them; a fact that no frame holds is dropped. */
    private castFacts(links: Link[], facts: EndpointFact[]): void {
        if (facts.length === 0 || castToAll(links, { kind: "endpointFacts", facts })) {
            return;
        }
        if (facts.length === 1) {
            const [fact] = facts;
            const writer = fact.kind === "observation" ? fact.address : fact.id;
            this.faults.record({ kind: "endpoint-fact", reason: "no frame holds it", writer });
            return;
        }
        const middle = facts.length >> 1;
        this.castFacts(links, facts.slice(0, middle));
        this.castFacts(links, facts.slice(middle));
    }

    private decide(now: number): void {
        const expired = this.registry.expire(now);
        expired.forEach(id => this.known.delete(id));
        this.filter.removeStale(expired, now);
        const { runtime, stateMachine } = this.options;
        if (!runtime.canServe()) {
            this.orders.clear();
            this.leaderSince = now;
            return;
        }
        this.options.steps?.record("leading");
        const { term } = runtime.getState().hardState;
        if (term !== this.term) {
            this.term = term;
            this.epochCount = 0;
            this.orders.clear();
            this.budgets.clear();
        }
        if (now - this.changedAt > PLAN_EACH_TICK_MS && now - this.plannedAt < QUIET_PLAN_INTERVAL_MS) {
            return;
        }
        this.plannedAt = now;
        const services = getTraffic(stateMachine.getState().configuration)?.services ?? [];
        for (const service of services) {
            try {
                this.planService(service, now);
            }
            catch (error) {
                // Plans are computed anew from reports: the next one does not depend on this one.
                const message = describeError(error);
                this.faults.record({
                    kind: "engine-plan",
                    reason: "its computation failed",
                    writer: service.name,
                    message,
                });
            }
        }
    }

    private planService(service: TrafficService, now: number): void {
        const { engine } = service;
        if (engine === undefined) {
            return;
        }
        const views = this.registry.listViews().filter(view => view.service === service.name);
        views.forEach(view => this.orders.applyReport(view, now));
        const budget = this.budgets.get(service.name) ?? new LoadBudget({
            loadsPerSecond: engine.loadsPerSecond,
            maxConcurrent: engine.maxConcurrentLoads,
        }, now);
        this.budgets.set(service.name, budget);
        const demand = this.options.demand?.choosePlan({
            service,
            engine,
            endpoints: views.length,
            isEvacuating: views.some(view => this.isEvacuated(view)),
            now,
        });
        const { recoveredTerm = 0 } = this.options;
        if (!this.isTrafficSeen && hasGroupFormedBefore(views, (recoveredTerm + 1) * EPOCHS_PER_TERM)) {
            this.recordTraffic("a group that stood before this process");
        }
        const { firstSeenAt, newestFirstSeenAt, leaderSince } = this;
        const isSettled = isFleetSettled({ views, now, firstSeenAt, newestFirstSeenAt });
        const isComplete = hasCompleteView({ now, firstSeenAt, newestFirstSeenAt, leaderSince });
        if (isSettled) {
            this.options.steps?.record("settled");
        }
        if (isComplete) {
            this.options.steps?.record("complete-view");
        }
        const planned = planEngineOrders({
            views,
            profile: demand?.profile ?? engine,
            rebalances: demand?.rebalances,
            isEvacuated: view => this.isEvacuated(view),
            now,
            isBeforeTraffic: !this.isTrafficSeen,
            isSettled,
            hasCompleteView: isComplete,
            isPartitionWindowOver: isPartitionWindowOver(now, firstSeenAt),
            fence: this.term,
            createEpoch: () => this.term * EPOCHS_PER_TERM + ++this.epochCount,
            isOrderPending: view => this.orders.isPending(view, now),
            admitLoad: (durationMs, keptFree) => !this.isTrafficSeen || budget.admitLoad(now, durationMs, keptFree),
            getOrderedMembers: key => this.orders.getMembers(key),
            canJoinOther: (view, key) => this.orders.canJoinOther(view, key),
            isOpening: key => this.orders.isOpening(key, now, engine.formationMs + OPEN_MARGIN_MS),
            getStagingModel: view => this.orders.getStagingModel(view),
            getAcceptedPart: (head, model) => this.computeAcceptedPart(head, engine, model),
        });
        planned.forEach(item => this.sendOrder(item, now));
    }

    /** Whether the data centre of an endpoint is evacuated; the lookup on the configuration is connected here. */
    private isEvacuated(view: EndpointView): boolean {
        return this.options.isEvacuated?.(view.dataCentre) === true;
    }

    /** Part of a group's usual work that its head accepts, 0 to 1. */
    private computeAcceptedPart(head: EndpointView, engine: EngineProfile, model: EngineModelProfile): number {
        const { services = [] } = getTraffic(this.options.stateMachine.getState().configuration) ?? {};
        return computeAcceptedPart({
            usualMs: estimateServiceMs(engine, model, engine.usualPromptTokens, engine.usualAnswerTokens),
            namedLimit: this.options.getNamedLimit?.(`${head.id}@${head.bornMs}`),
            cold: services.find(service => service.name === head.service)?.cold,
            coldUntil: head.coldUntil,
            now: performance.now(),
        });
    }

    private recordEndpoint(id: string, now: number): void {
        if (!this.known.has(id)) {
            this.known.add(id);
            this.firstSeenAt ??= now;
            this.options.steps?.record("first-endpoint");
            this.newestFirstSeenAt = now;
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
        this.options.steps?.record("first-order");
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
