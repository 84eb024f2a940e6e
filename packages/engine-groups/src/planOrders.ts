import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState, type EngineModelProfile, type EngineOrder, type EngineProfile } from "@kumquathall/types";
import { isJoiningStandby, isStaged, isStraggler, isWarm, mustLoad } from "./engineState.js";
import { formatGroupName, parseGroupName } from "./groupName.js";
import { type EngineGroup, formatGroupKey, listEngineGroups } from "./listGroups.js";

export interface OrderPlanInput {
    /** Endpoints of one engine service. */
    views: EndpointView[];
    profile: EngineProfile;
    now: number;
    /** No request has come yet: loads are quick, and groups are worth a cold load. */
    isBeforeTraffic: boolean;
    /** All that there is to hear has had time to arrive since this process leads: who is missing then is gone. */
    hasCompleteView: boolean;
    /** Endpoints have been heard for longer than cuts last: a head that was never heard of is gone. */
    isPartitionWindowOver: boolean;
    /** Endpoints have stopped appearing one after another, as they do when a deployment or a leader starts. */
    isSettled: boolean;
    fence: number;
    /** Returns an epoch above all that were given before. */
    createEpoch: () => number;
    /** Whether an order to this endpoint still waits for its effect. */
    isOrderPending: (view: EndpointView) => boolean;
    /** Takes one load from the weight store's budget, if `keptFree` more could still run beside it. */
    admitLoad: (durationMs: number, keptFree: number) => boolean;
    /** Members that a group was ordered to have, where this leader ordered it; none once its head was ordered to leave. */
    getOrderedMembers: (groupKey: string) => string[] | undefined;
    /** The head was ordered to open not long ago and may still be about to. */
    isOpening: (groupKey: string) => boolean;
    /** Model that an endpoint was ordered to stage and has not staged yet. */
    getStagingModel: (view: EndpointView) => string | undefined;
}

export interface PlannedOrder {
    target: EndpointView;
    order: EngineOrder;
    /** Why, for the log. */
    reason: string;
}

/** An engine whose report is older than this gets no order and opens no group, in milliseconds. */
const MAX_REPORT_AGE_MS = 2500;
/** Part of a fabric domain that is kept as standby when groups are first formed. */
const STANDBY_PART = 1 / 12;

/** Factor by which the scarcest model must gain for a serving group to be given up: its requests are cut off and run anew. */
const EXCHANGE_GAIN = 1.25;

/**
 * Part of the loads that may run at once which copies for later leave to endpoints that hold nothing: two loads of 16 s at a
 * time give a newcomer every 8 s its model at once.
 */
const KEPT_LOAD_PART = 1 / 3;

/** How soon an endpoint can be a member of a model's group, soonest first. */
const JoinRank = { Warm: 0, Staged: 1, Staging: 2, Empty: 3, HoldsAnother: 4 } as const;

/** Plans the next orders: pure, from reports alone, so that any leader continues where another stopped. */
export function planEngineOrders(input: OrderPlanInput): PlannedOrder[] {
    return new OrderPlan(input).assemble();
}

class OrderPlan {
    private readonly orders: PlannedOrder[] = [];
    private readonly groups: EngineGroup[];
    /** Usable endpoints outside every live group, by fabric domain. */
    private readonly free = new Map<string, EndpointView[]>();
    /** Replica groups that serve or will soon, by model. */
    private readonly groupCounts = new Map<string, number>();
    /** Endpoints that may be members, by fabric domain. */
    private readonly usable = new Map<string, EndpointView[]>();
    /** Those of the largest groups first. */
    private readonly models: EngineModelProfile[];

    constructor(private readonly input: OrderPlanInput) {
        this.groups = listEngineGroups(input.views);
        this.models = [...input.profile.models].sort((left, right) => right.groupSize - left.groupSize);
    }

    assemble(): PlannedOrder[] {
        const live = this.planExistingGroups();
        if (!this.input.isSettled) {
            return this.orders;
        }
        this.collectFree(live);
        this.formGroups({ canLoad: this.input.isBeforeTraffic });
        if (!this.input.isBeforeTraffic) {
            this.planExchange();
            this.planStragglers();
            this.formGroups({ canLoad: true });
        }
        this.planStandbys();
        if (this.input.hasCompleteView) {
            this.planHostCopies();
        }
        return this.orders;
    }

    /** Opens whole groups, completes joins, dissolves what cannot serve. Returns the keys of groups that hold their members. */
    private planExistingGroups(): Set<string> {
        const live = new Set<string>();
        for (const group of this.groups.filter(item => !item.isStandby)) {
            const isForming = this.isForming(group);
            const mustWait = !group.isComplete && !isForming && !this.isKnownDefective(group);
            if (group.isComplete || isForming || mustWait) {
                live.add(group.key);
                this.groupCounts.set(group.model, (this.groupCounts.get(group.model) ?? 0) + 1);
            }
            if (isForming) {
                this.completeJoins(group);
            }
            else if (this.isFinishing(group)) {
                live.add(group.key);
            }
            else if (!group.isComplete && !mustWait) {
                this.releaseMembers(group, live);
            }
            else if (group.isComplete && this.canOpen(group) && !this.input.isOpening(group.key)) {
                this.push(
                    group.head!,
                    { kind: "open", group: group.name, epoch: group.epoch },
                    "every member is ready",
                );
            }
        }
        return live;
    }

    /** Some ordered members, all of them alive and staying, have not said yet that they belong to it. */
    private isForming(group: EngineGroup): boolean {
        const ordered = this.input.getOrderedMembers(group.key);
        if (ordered === undefined || ordered.length === 0 || group.isComplete || group.isOpen) {
            return false;
        }
        const views = ordered.map(id => this.findView(id));
        return views.every(view => {
            if (view === undefined || view.isLost || view.isLeaving || !this.isFresh(view)) {
                return false;
            }
            const other = view.engine?.group;
            return other === undefined || other.epoch <= group.epoch;
        });
    }

    /**
     * Members are leaving, and the head still runs requests. Gateways send it nothing new, and a member that
     * leaves ends after a while whatever the head runs, so this ends by itself.
     */
    private isFinishing(group: EngineGroup): boolean {
        const { running = 0, waiting = 0 } = group.head?.engine ?? {};
        return group.isDegraded && !group.isBroken && group.isOpen && group.members.length === group.size
            && running + waiting > 0;
    }

    /** Whether a member is gone for certain: known to be lost, ordered here and elsewhere now, or unheard for long. */
    private isKnownDefective(group: EngineGroup): boolean {
        return group.isDegraded || this.input.hasCompleteView || this.input.getOrderedMembers(group.key) !== undefined;
    }

    private completeJoins(group: EngineGroup): void {
        const ordered = this.input.getOrderedMembers(group.key) ?? [];
        for (const id of ordered) {
            const view = this.findView(id);
            const current = view?.engine?.group;
            if (view !== undefined && (current?.epoch !== group.epoch || current.name !== group.name)) {
                this.pushJoin(view, group.name, group.epoch, group.model, ordered, "its join had no effect yet");
            }
        }
    }

    /** Members are free once the head has left or is lost; before that nothing else may take them, since it may serve. */
    private releaseMembers(group: EngineGroup, live: Set<string>): void {
        if (group.head === undefined) {
            const hasLeft = this.input.getOrderedMembers(group.key)?.length === 0;
            if (!group.isHeadLost && !hasLeft && !this.input.isPartitionWindowOver) {
                live.add(group.key);
            }
            return;
        }
        live.add(group.key);
        this.push(group.head, { kind: "leave", group: group.name, epoch: group.epoch }, "a member is missing");
    }

    private canOpen(group: EngineGroup): boolean {
        return group.isReady && group.head !== undefined
            && group.head.engine?.group?.state === EngineGroupState.Ready
            && group.members.every(member => this.isFresh(member));
    }

    private collectFree(live: Set<string>): void {
        for (const view of this.input.views) {
            const domain = view.engine?.fabricDomain;
            if (domain === undefined || view.isLost || view.isLeaving || !view.isObserved || !this.isFresh(view)) {
                continue;
            }
            this.usable.set(domain, [...this.usable.get(domain) ?? [], view]);
            const group = view.engine?.group;
            if (group === undefined || !live.has(formatGroupKey(group.name, group.epoch))) {
                this.free.set(domain, [...this.free.get(domain) ?? [], view]);
            }
        }
    }

    private formGroups(options: { canLoad: boolean }): void {
        for (;;) {
            const choice = this.chooseGroup(options.canLoad);
            if (choice === undefined) {
                return;
            }
            const { model, domain, members, cold } = choice;
            this.removeFree(domain, members);
            if (cold.length > 0 && !this.input.isBeforeTraffic) {
                cold.forEach(view => this.stage(view, model));
                continue;
            }
            this.groupCounts.set(model.name, (this.groupCounts.get(model.name) ?? 0) + 1);
            this.form(model, members);
        }
    }

    /** The model that lacks most for its share, in the domain where the fewest members must load. */
    private chooseGroup(canLoad: boolean) {
        const models = [...this.input.profile.models].sort((left, right) =>
            this.computeFill(left) - this.computeFill(right)
        );
        for (const model of models) {
            const choices = [...this.free.keys()].flatMap(domain => {
                const kept = this.listKept(domain, model);
                const candidates = this.listCandidates(domain, model).filter(view => !kept.includes(view));
                const spare = this.input.isBeforeTraffic ? this.countReserve(domain) : 0;
                if (candidates.length < model.groupSize + spare) {
                    return [];
                }
                const members = candidates.slice(0, model.groupSize);
                const cold = members.filter(view => mustLoad(view, model));
                if (cold.length > 0 && !canLoad) {
                    return [];
                }
                return [{ model, domain, members, cold, left: candidates.length - members.length }];
            });
            // The tightest fit leaves room for the larger groups elsewhere.
            choices.sort((left, right) => left.cold.length - right.cold.length || left.left - right.left);
            if (choices.length > 0) {
                return choices[0];
            }
        }
        return undefined;
    }

    /** Free endpoints of a domain that can be members, those that join fastest first. */
    private listCandidates(domain: string, model: EngineModelProfile): EndpointView[] {
        return (this.free.get(domain) ?? [])
            .filter(view => !this.input.isOrderPending(view) && !this.isHeldUp(view, model))
            .sort((left, right) =>
                Number(isStraggler(left)) - Number(isStraggler(right))
                || this.computeJoinRank(left, model) - this.computeJoinRank(right, model)
            );
    }

    /**
     * Endpoints that are ready for a model which lacks more and of which they are most of a group: a model that has its share of
     * the fleet leaves them for the newcomer that completes it.
     */
    private listKept(domain: string, model: EngineModelProfile): EndpointView[] {
        if (this.input.isBeforeTraffic || (this.groupCounts.get(model.name) ?? 0) < this.computeFairCount(model)) {
            return [];
        }
        const free = this.free.get(domain) ?? [];
        return this.models.filter(other => this.computeFill(other) < this.computeFill(model)).flatMap(other => {
            const ready = free.filter(view => !mustLoad(view, other) || this.input.getStagingModel(view) === other.name);
            return ready.length * 2 > other.groupSize ? ready : [];
        });
    }

    /** Groups of a model for its share of the endpoints that are there. */
    private computeFairCount(model: EngineModelProfile): number {
        const count = [...this.usable.values()].reduce((sum, views) => sum + views.length, 0);
        return Math.floor(count * model.share / model.groupSize);
    }

    /** Its host is loading another model: it would join only afterwards, and the whole group would wait for it. */
    private isHeldUp(view: EndpointView, model: EngineModelProfile): boolean {
        const staging = this.input.getStagingModel(view);
        return staging !== undefined && staging !== model.name && !isWarm(view, model);
    }

    private computeJoinRank(view: EndpointView, model: EngineModelProfile): number {
        if (isWarm(view, model)) {
            return JoinRank.Warm;
        }
        if (isStaged(view, model)) {
            return JoinRank.Staged;
        }
        if (this.input.getStagingModel(view) === model.name) {
            return JoinRank.Staging;
        }
        return this.models.every(other => mustLoad(view, other)) ? JoinRank.Empty : JoinRank.HoldsAnother;
    }

    private countReserve(domain: string): number {
        return Math.ceil((this.usable.get(domain)?.length ?? 0) * STANDBY_PART);
    }

    private computeFill(model: EngineModelProfile): number {
        return (this.groupCounts.get(model.name) ?? 0) * model.groupSize / model.share;
    }

    private form(model: EngineModelProfile, members: EndpointView[]): void {
        const epoch = this.input.createEpoch();
        const name = formatGroupName({ isStandby: false, model: model.name, size: model.groupSize });
        const ids = members.map(view => view.id);
        members.forEach(view => this.pushJoin(view, name, epoch, model.name, ids, "a group is formed"));
    }

    /**
     * Keeps each endpoint that is left ready for two models: its last group, a standby group of itself alone, had the model of
     * the larger groups, so that it joins one almost at once; the host holds another model, which then loads from memory.
     */
    private planStandbys(): void {
        for (const [domain, views] of this.free) {
            for (const view of views) {
                const isIdle = !this.models.some(model => isWarm(view, model) || isJoiningStandby(view, model));
                const staged = this.models.find(model => isStaged(view, model));
                if (isIdle && staged === undefined) {
                    this.stage(view, this.chooseStageModel(domain, view));
                }
                else if (isIdle && staged !== undefined && !this.isHeldUp(view, staged)) {
                    this.joinStandby(view, staged);
                }
            }
        }
    }

    /** The model of which one more member completes a group in the domain, else that of the largest groups. */
    private chooseStageModel(domain: string, view: EndpointView): EngineModelProfile {
        const staging = this.models.find(model => this.input.getStagingModel(view) === model.name);
        if (staging !== undefined) {
            return staging;
        }
        const free = this.free.get(domain) ?? [];
        const isCompleted = (model: EngineModelProfile) => {
            const ready = free.filter(item =>
                item !== view && (!mustLoad(item, model) || this.input.getStagingModel(item) === model.name)
            );
            return ready.length > 0 && ready.length % model.groupSize === model.groupSize - 1;
        };
        const byNeed = [...this.models].sort((left, right) => this.computeFill(left) - this.computeFill(right));
        return byNeed.find(isCompleted) ?? this.models[0];
    }

    /**
     * Has hosts hold a model that their engine does not serve, so that members can change groups without the weight store, as
     * long as the domain's hosts together still hold what its groups need after all of them have started again.
     */
    private planHostCopies(): void {
        const keptFree = Math.ceil(this.input.profile.maxConcurrentLoads * KEPT_LOAD_PART);
        for (const [domain, views] of this.usable) {
            const counts = new Map(this.models.map(model => [model.name, this.countCopies(views, model)]));
            const needs = new Map(this.models.map(model => [model.name, this.countMembers(domain, model)]));
            const isSpared = (name: string) => (counts.get(name) ?? 0) > (needs.get(name) ?? 0);
            // Standbys come first: they are the next to change groups.
            const free = this.free.get(domain) ?? [];
            const areStandbysDone = free.every(view => {
                const warm = this.models.find(model => isWarm(view, model));
                return warm !== undefined && (!isStaged(view, warm) || !isSpared(warm.name));
            });
            for (const view of areStandbysDone ? this.listByGroupSize(views) : free) {
                const warm = this.models.find(model => isWarm(view, model));
                const other = this.models.find(model => model !== warm);
                if (warm === undefined || other === undefined || !isStaged(view, warm)) {
                    continue;
                }
                if (
                    this.input.getStagingModel(view) === undefined && isSpared(warm.name)
                    && this.stage(view, other, keptFree)
                ) {
                    counts.set(warm.name, (counts.get(warm.name) ?? 0) - 1);
                    counts.set(other.name, (counts.get(other.name) ?? 0) + 1);
                }
            }
        }
    }

    private countCopies(views: EndpointView[], model: EngineModelProfile): number {
        return views.filter(view => {
            const staging = this.input.getStagingModel(view);
            return staging === undefined ? isStaged(view, model) : staging === model.name;
        }).length;
    }

    private countMembers(domain: string, model: EngineModelProfile): number {
        return this.groups.filter(group =>
            !group.isStandby && group.isComplete && group.model === model.name
            && group.head?.engine?.fabricDomain === domain
        ).length * model.groupSize;
    }

    /** Standbys first, then members of small groups. */
    private listByGroupSize(views: EndpointView[]): EndpointView[] {
        const getSize = (view: EndpointView) => parseGroupName(view.engine?.group?.name ?? "")?.size ?? 0;
        return [...views].sort((left, right) => getSize(left) - getSize(right));
    }

    /**
     * Ends a group of a model that has plenty where its members, with free endpoints, make one of a model that lacks more,
     * without a load.
     */
    private planExchange(): void {
        const lacking = [...this.models].sort((left, right) => this.computeFill(left) - this.computeFill(right))[0];
        const rich = this.groups
            .filter(group => group.isComplete && group.isOpen && !group.isStandby && group.model !== lacking.name)
            .filter(group => this.canExchange(group, lacking));
        const group = rich[0];
        if (group?.head !== undefined) {
            const order = { kind: "leave" as const, group: group.name, epoch: group.epoch };
            this.push(group.head, order, "its members are needed more for another model");
            this.free.delete(group.head.engine?.fabricDomain ?? "");
        }
    }

    /** Forms a group anew without its stragglers where enough standbys can take their places without a load. */
    private planStragglers(): void {
        for (const group of this.groups.filter(item => item.isComplete && item.isOpen && !item.isStandby)) {
            const model = this.models.find(item => item.name === group.model);
            const domain = group.head?.engine?.fabricDomain ?? "";
            const slow = group.members.filter(isStraggler).length;
            const free = this.free.get(domain) ?? [];
            const ready = model === undefined ? [] : free.filter(view => !isStraggler(view) && !mustLoad(view, model));
            if (slow > 0 && ready.length >= slow && group.head !== undefined) {
                const order = { kind: "leave" as const, group: group.name, epoch: group.epoch };
                this.push(group.head, order, "a member is far slower than the others");
                this.free.delete(domain);
            }
        }
    }

    private canExchange(group: EngineGroup, lacking: EngineModelProfile): boolean {
        const model = this.models.find(item => item.name === group.model);
        const domain = group.head?.engine?.fabricDomain;
        if (model === undefined || domain === undefined) {
            return false;
        }
        const givingAfter = ((this.groupCounts.get(model.name) ?? 0) - 1) * model.groupSize / model.share;
        const lackingBefore = this.computeFill(lacking);
        const lackingAfter = lackingBefore + lacking.groupSize / lacking.share;
        const isWorthIt = Math.min(givingAfter, lackingAfter) > lackingBefore * EXCHANGE_GAIN;
        const ready = [...this.free.get(domain) ?? [], ...group.members].filter(view => !mustLoad(view, lacking));
        return isWorthIt && ready.length >= lacking.groupSize;
    }

    private joinStandby(view: EndpointView, model: EngineModelProfile): void {
        const name = formatGroupName({ isStandby: true, model: model.name, size: 1 });
        this.pushJoin(view, name, this.input.createEpoch(), model.name, [view.id], "a standby is kept warm");
    }

    /** Orders a load into the host's memory if the budget has room; returns whether it did. */
    private stage(view: EndpointView, model: EngineModelProfile, keptFree = 0): boolean {
        const isTaken = this.orders.some(item => item.target === view);
        if (isTaken || this.input.getStagingModel(view) !== undefined || this.input.isOrderPending(view)) {
            return false;
        }
        if (!this.input.admitLoad(model.loadMs, keptFree)) {
            return false;
        }
        this.push(view, { kind: "stage", model: model.name }, "the host is to hold the model");
        return true;
    }

    private pushJoin(
        view: EndpointView,
        group: string,
        epoch: number,
        model: string,
        members: string[],
        reason: string,
    ): void {
        this.push(view, { kind: "join", group, epoch, model, members }, reason);
    }

    private push(target: EndpointView, order: OrderBody, reason: string): void {
        if (target.engine === undefined || this.input.isOrderPending(target)) {
            return;
        }
        const guarded = { ...order, expectedSequence: target.engine.orderSequence, fence: this.input.fence };
        this.orders.push({ target, order: guarded, reason });
    }

    private isFresh(view: EndpointView): boolean {
        return this.input.now - view.engineReportedAt < MAX_REPORT_AGE_MS;
    }

    private findView(id: string): EndpointView | undefined {
        return this.input.views.find(view => view.id === id);
    }

    private removeFree(domain: string, members: EndpointView[]): void {
        this.free.set(domain, (this.free.get(domain) ?? []).filter(view => !members.includes(view)));
    }
}

type OrderBody = EngineOrder extends infer Order
    ? Order extends EngineOrder ? Omit<Order, "expectedSequence" | "fence"> : never
    : never;
