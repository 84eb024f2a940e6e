import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState, type EngineModelProfile, type EngineOrder, type EngineProfile } from "@kumquathall/types";
import { LoadBudget } from "../loadBudget.js";
import type { PlannedOrder } from "../orderPlanInput.js";
import { OrderTracker } from "../orderTracker.js";
import { planEngineOrders } from "../planOrders.js";
import { RebalanceHistory } from "../rebalanceHistory.js";
import type { DemandFeed } from "./demandFeed.js";

interface FleetEngine {
    view: EndpointView;
    staging: { model: string; doneAt: number } | undefined;
    joinDoneAt: number;
    openAt: number;
    lastModel: string | undefined;
    /** Members of the engine's group, as ordered, by rank. */
    members: string[];
}

const STEP_MS = 40;
const WARM_JOIN_MS = 200;
/** Time from the end of a group's formation until the head reports that it serves, in milliseconds. */
const OPEN_MARGIN_MS = 500;
/** Time after which an order that was not answered takes effect, in milliseconds: from the first to the second. */
const LATE_FROM_MS = 2000;
const LATE_TO_MS = 12_000;

interface LateOrder {
    id: string;
    bornMs: number;
    order: EngineOrder;
    dueAt: number;
}

/** Simulated engines that execute orders in virtual time by the published rules, with the real planner as leader. */
export class EngineFleet {
    now = 10_000;
    isBeforeTraffic = true;
    hasCompleteView = true;
    isPartitionWindowOver = false;
    isSettled = true;
    hasLeader = true;
    /** Ids of endpoints that are hidden from the planner. */
    readonly hidden = new Set<string>();
    /** What the planner knows, from heartbeats only, of endpoints whose sidecar has started again and read nothing. */
    private readonly heartbeats = new Map<string, EndpointView>();
    /** Share of the orders that engines leave unanswered and carry out late, and the random numbers by which. */
    lateOrders: { share: number; random: () => number } | undefined;
    private pendingLate: LateOrder[] = [];
    /** Part of its usual work that each head accepts which limits its requests, by id. */
    readonly acceptedParts = new Map<string, number>();
    /** What gateways report of the demand; without it, the declared shares apply. */
    demand: DemandFeed | undefined;
    rebalances = new RebalanceHistory();
    /** Domains whose data centre is evacuated. */
    readonly evacuated = new Set<string>();
    readonly orders: PlannedOrder[] = [];
    /** Violated invariants, as text. */
    readonly violations: string[] = [];
    /** Orders that wasted time or loads, as text. */
    readonly wastedOrders: string[] = [];
    private readonly engines = new Map<string, FleetEngine>();
    private readonly tracker = new OrderTracker();
    private readonly budget: LoadBudget;
    private epoch = 0;
    private nextId = 1;

    constructor(readonly profile: EngineProfile) {
        this.budget = new LoadBudget(
            { loadsPerSecond: profile.loadsPerSecond, maxConcurrent: profile.maxConcurrentLoads },
            this.now,
        );
    }

    /** Starts engines in a fabric domain. */
    add(domain: string, count: number): void {
        for (let at = 0; at < count; at++) {
            this.addEngine(`e${this.nextId++}`, domain, []);
        }
    }

    listEngines(domain?: string): EndpointView[] {
        return [...this.engines.values()].map(engine => engine.view).filter(view =>
            domain === undefined || view.engine?.fabricDomain === domain
        );
    }

    /** Lists the endpoints as the planner knows them. */
    listKnown(): EndpointView[] {
        return this.listEngines().filter(view => !this.hidden.has(view.id)).map(view =>
            this.heartbeats.get(view.id) ?? view
        );
    }

    /** Lets the planner know an endpoint from a heartbeat of now, or from its sidecar. */
    showEngine(id: string, isObserved: boolean): void {
        const view = this.engines.get(id)?.view;
        this.hidden.delete(id);
        if (isObserved || view === undefined) {
            this.heartbeats.delete(id);
        }
        else {
            this.heartbeats.set(id, { ...view, isObserved: false, isLost: false, lastGroupName: undefined });
        }
    }

    /** Models of the groups that are open and complete now, one entry per group. */
    listServing(): string[] {
        return [...this.engines.values()].flatMap(engine => this.isServing(engine) ? [engine.lastModel ?? ""] : []);
    }

    /** Restarts the sidecar of an engine, whose latest heartbeat was sent before it joined its group. */
    restartSidecar(id: string): void {
        const view = this.engines.get(id)?.view;
        if (view?.engine !== undefined) {
            const engine = { ...view.engine, group: undefined, orderSequence: Number.NaN };
            this.heartbeats.set(id, { ...view, isObserved: false, engine });
        }
    }

    /** Replaces the leader by one that does not know its predecessor's orders. */
    resetLeader(): void {
        this.tracker.clear();
        this.rebalances = new RebalanceHistory();
    }

    /** Crashes a member of an open group of a model; returns its id. */
    crashMember(model: string, rank: number): string {
        const head = [...this.engines.values()].find(engine => this.isServing(engine) && engine.lastModel === model);
        const id = head?.members[rank] ?? "";
        this.crash(id);
        return id;
    }

    crash(id: string): void {
        const engine = this.engines.get(id);
        if (engine !== undefined) {
            engine.view = { ...engine.view, isLost: true };
        }
    }

    /** Sets the slowdown of a member of an open group of a model; returns its id. */
    setMemberPace(model: string, rank: number, pace: number): string {
        const head = [...this.engines.values()].find(engine => this.isServing(engine) && engine.lastModel === model);
        const engine = this.engines.get(head?.members[rank] ?? "");
        if (engine !== undefined) {
            this.setStatus(engine, { pace });
        }
        return engine?.view.id ?? "";
    }

    /** Sets how many requests the heads of a model's open groups run, in one domain or in all. */
    setRunning(model: string, running: number, domain?: string): void {
        for (const engine of this.engines.values()) {
            const isInDomain = domain === undefined || engine.view.engine?.fabricDomain === domain;
            if (isInDomain && this.isServing(engine) && engine.lastModel === model) {
                this.setStatus(engine, { running });
            }
        }
    }

    /** Replaces the model that each host holds by the one that its engine serves. */
    resetStagedCopies(): void {
        for (const engine of this.engines.values()) {
            engine.staging = undefined;
            this.setStatus(engine, { staged: engine.lastModel === undefined ? [] : [engine.lastModel] });
        }
    }

    /** Ids of the members of a model's open groups. */
    listMembers(model: string): string[] {
        return [...this.engines.values()].flatMap(engine =>
            this.isServing(engine) && engine.lastModel === model ? engine.members : []
        );
    }

    /** Marks an endpoint as leaving. */
    announceLeaving(id: string): void {
        const engine = this.engines.get(id);
        if (engine !== undefined) {
            engine.view = { ...engine.view, isLeaving: true };
        }
    }

    /** Restarts an engine under its id; its host still holds the staged models. */
    restart(id: string): void {
        const old = this.engines.get(id);
        if (old !== undefined) {
            this.engines.delete(id);
            this.addEngine(id, old.view.engine?.fabricDomain ?? "", old.view.engine?.staged ?? []);
        }
    }

    /** Advances virtual time; the planner runs at every step. */
    advance(ms: number): void {
        const endsAt = this.now + ms;
        while (this.now < endsAt) {
            this.now += STEP_MS;
            this.engines.forEach(engine => this.advanceEngine(engine));
            this.executeLate();
            this.plan();
        }
    }

    private addEngine(id: string, domain: string, staged: string[]): void {
        this.engines.set(id, {
            view: {
                id,
                service: "s",
                address: id,
                dataCentre: domain,
                slots: this.profile.slots,
                bornMs: this.now,
                isLeaving: false,
                isLost: false,
                isLossAnnounced: false,
                hasProcessEnded: false,
                isObserved: true,
                lastGroupName: undefined,
                heartbeatAt: 0,
                lastSeenAt: this.now,
                engineReportedAt: this.now,
                engine: {
                    orderSequence: 0,
                    isBusy: false,
                    running: 0,
                    waiting: 0,
                    kvUsedTokens: 0,
                    kvTotalTokens: 0,
                    pace: 1,
                    models: [],
                    staged,
                    fabricDomain: domain,
                    group: undefined,
                },
            },
            staging: undefined,
            joinDoneAt: 0,
            openAt: Number.POSITIVE_INFINITY,
            lastModel: undefined,
            members: [],
        });
    }

    private plan(): void {
        if (!this.hasLeader) {
            return;
        }
        const views = this.listKnown();
        views.forEach(view => this.tracker.applyReport(view, this.now));
        const shares = this.demand?.select(views.length, this.now);
        const planned = planEngineOrders({
            views,
            profile: shares?.profile ?? this.profile,
            rebalances: shares?.isMeasured === true || this.evacuated.size > 0 ? this.rebalances : undefined,
            isEvacuated: view => this.evacuated.has(view.dataCentre),
            now: this.now,
            isBeforeTraffic: this.isBeforeTraffic,
            isSettled: this.isSettled,
            hasCompleteView: this.hasCompleteView,
            isPartitionWindowOver: this.isPartitionWindowOver,
            fence: 1,
            createEpoch: () => ++this.epoch,
            isOrderPending: view => this.tracker.isPending(view, this.now),
            admitLoad: (durationMs, reservedSlots) =>
                this.isBeforeTraffic || this.budget.admitLoad(this.now, durationMs, reservedSlots),
            getOrderedMembers: key => this.tracker.getMembers(key),
            canJoinOther: (view, key) => this.tracker.canJoinOther(view, key),
            isOpening: key => this.tracker.isOpening(key, this.now, this.profile.formationMs + OPEN_MARGIN_MS),
            getStagingModel: view => this.tracker.getStagingModel(view),
            getAcceptedPart: head => this.acceptedParts.get(head.id) ?? 1,
        });
        for (const item of planned) {
            this.orders.push(item);
            this.send(item);
        }
    }

    private send({ target, order }: PlannedOrder): void {
        this.tracker.recordOrder(target, order, this.now);
        const { lateOrders } = this;
        if (lateOrders !== undefined && lateOrders.random() < lateOrders.share) {
            const dueAt = this.now + LATE_FROM_MS + lateOrders.random() * (LATE_TO_MS - LATE_FROM_MS);
            this.pendingLate.push({ id: target.id, bornMs: target.bornMs, order, dueAt });
            return;
        }
        this.execute(target.id, order);
    }

    private executeLate(): void {
        const due = this.pendingLate.filter(late => late.dueAt <= this.now);
        this.pendingLate = this.pendingLate.filter(late => late.dueAt > this.now);
        for (const { id, bornMs, order } of due) {
            if (this.engines.get(id)?.view.bornMs === bornMs) {
                this.execute(id, order);
            }
        }
    }

    private execute(id: string, order: EngineOrder): void {
        const engine = this.engines.get(id);
        if (
            engine === undefined || engine.view.isLost || engine.view.engine?.orderSequence !== order.expectedSequence
        ) {
            return;
        }
        if (order.kind === "join") {
            this.checkJoin(engine, order.group, order.epoch);
            if (
                engine.staging !== undefined && engine.staging.model !== order.model && engine.lastModel !== order.model
            ) {
                this.wastedOrders.push(`${order.group} waits until ${id} has loaded ${engine.staging.model}`);
            }
            const model = this.getModel(order.model);
            const duration = engine.lastModel === order.model
                ? WARM_JOIN_MS
                : engine.view.engine?.staged.includes(order.model) === true
                ? model.warmMs
                : this.computeLoadMs(model);
            // The host finishes a running load first.
            const stagingDoneAt = engine.lastModel === order.model ? this.now : engine.staging?.doneAt ?? this.now;
            engine.members = order.members;
            engine.joinDoneAt = stagingDoneAt + duration;
            engine.lastModel = order.model;
            engine.openAt = Number.POSITIVE_INFINITY;
            const rank = order.members.indexOf(id);
            this.applyOrder(engine, {
                group: { name: order.group, epoch: order.epoch, rank, state: EngineGroupState.Joining },
                staged: [order.model],
            });
        }
        else if (order.kind === "open") {
            engine.openAt = this.now + this.profile.formationMs;
            this.checkComplete(engine);
            this.applyOrder(engine, {});
        }
        else if (order.kind === "leave") {
            this.applyOrder(engine, { group: undefined });
        }
        else if (order.kind === "stage") {
            this.checkStaging(engine, order.model);
            engine.staging = { model: order.model, doneAt: this.now + this.computeLoadMs(this.getModel(order.model)) };
            this.applyOrder(engine, {});
        }
    }

    private advanceEngine(engine: FleetEngine): void {
        if (engine.view.isLost) {
            return;
        }
        const { group } = engine.view.engine ?? {};
        engine.view = { ...engine.view, engineReportedAt: this.now, lastSeenAt: this.now };
        if (engine.staging !== undefined && engine.staging.doneAt <= this.now) {
            this.setStatus(engine, { staged: [engine.staging.model] });
            engine.staging = undefined;
        }
        if (group?.state === EngineGroupState.Joining && engine.joinDoneAt <= this.now) {
            this.setStatus(engine, { group: { ...group, state: EngineGroupState.Ready } });
        }
        else if (group?.state === EngineGroupState.Ready && engine.openAt <= this.now) {
            this.setStatus(engine, { group: { ...group, state: EngineGroupState.Open } });
        }
    }

    /** Changes the status as an accepted order does, which also increments the order sequence. */
    private applyOrder(engine: FleetEngine, change: Partial<NonNullable<EndpointView["engine"]>>): void {
        this.setStatus(engine, { ...change, orderSequence: (engine.view.engine?.orderSequence ?? 0) + 1 });
    }

    private setStatus(engine: FleetEngine, change: Partial<NonNullable<EndpointView["engine"]>>): void {
        if (engine.view.engine !== undefined) {
            const status = { ...engine.view.engine, ...change };
            const isJoined = status.group !== undefined && status.group.state !== EngineGroupState.Joining;
            const lastGroupName = isJoined ? status.group?.name : engine.view.lastGroupName;
            engine.view = { ...engine.view, engine: status, lastGroupName };
        }
    }

    private computeLoadMs(model: EngineModelProfile): number {
        return this.isBeforeTraffic ? model.loadMs / 10 : model.loadMs;
    }

    private getModel(name: string): EngineModelProfile {
        const model = this.profile.models.find(item => item.name === name);
        if (model === undefined) {
            throw new Error(`model "${name}" is not in the profile`);
        }
        return model;
    }

    private isServing(engine: FleetEngine): boolean {
        const group = engine.view.engine?.group;
        return !engine.view.isLost && group?.rank === 0 && group.state === EngineGroupState.Open
            && engine.members.every(id => this.isMember(id, group.name, group.epoch));
    }

    private isMember(id: string, name: string, epoch: number): boolean {
        const view = this.engines.get(id)?.view;
        return view !== undefined && !view.isLost && view.engine?.group?.name === name
            && view.engine.group.epoch === epoch;
    }

    /** Checks that no member joins another group while the head of its own group serves. */
    private checkJoin(engine: FleetEngine, name: string, epoch: number): void {
        const group = engine.view.engine?.group;
        if (group === undefined || (group.name === name && group.epoch === epoch)) {
            return;
        }
        const head = this.engines.get(engine.members[0]);
        const headGroup = head?.view.engine?.group;
        const isSame = headGroup?.name === group.name && headGroup.epoch === group.epoch;
        if (isSame && head?.view.isLost !== true && headGroup.state === EngineGroupState.Open) {
            this.violations.push(`${engine.view.id} left ${group.name}@${group.epoch} while its head serves`);
        }
    }

    /** Checks that no host replaces the only model that it holds while an empty host of its domain loads nothing. */
    private checkStaging(engine: FleetEngine, model: string): void {
        const { staged = [], fabricDomain } = engine.view.engine ?? {};
        const isOnlyModel = engine.lastModel === undefined && staged.length > 0 && !staged.includes(model);
        const empty = [...this.engines.values()].find(other =>
            !other.view.isLost && other.view.engine?.fabricDomain === fabricDomain && other.lastModel === undefined
            && other.view.engine?.staged.length === 0 && other.staging === undefined
        );
        if (isOnlyModel && empty !== undefined) {
            this.wastedOrders.push(
                `${engine.view.id} replaces ${staged.join()} with ${model} while ${empty.view.id} holds no model`,
            );
        }
    }

    /** Checks that a group is complete and ready when its head is ordered to open. */
    private checkComplete(engine: FleetEngine): void {
        const group = engine.view.engine?.group;
        const isComplete = group !== undefined && engine.members.every(id =>
            this.isMember(id, group.name, group.epoch)
            && this.engines.get(id)?.view.engine?.group?.state !== EngineGroupState.Joining
        );
        if (!isComplete) {
            this.violations.push(`${engine.view.id} opens an incomplete group`);
        }
    }
}
