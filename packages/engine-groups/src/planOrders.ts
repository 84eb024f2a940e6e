import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineModelProfile, EngineOrder } from "@kumquathall/types";
import { Allocation } from "./allocation.js";
import { isStaged, isStandbyOf, isStraggler, isWarm, mustLoad } from "./engineState.js";
import { GroupChooser } from "./groupChooser.js";
import { GroupConditions } from "./groupConditions.js";
import { formatGroupName } from "./groupName.js";
import { type EngineGroup, formatGroupKey, listEngineGroups } from "./listGroups.js";
import type { OrderPlanInput, PlannedOrder } from "./orderPlanInput.js";
import { chooseDeclaredRebalance, chooseMeasuredRebalance, type Rebalance, type RebalanceInput } from "./rebalance.js";
import type { RebalanceHistory } from "./rebalanceHistory.js";
import { planStagedCopies } from "./stagedCopies.js";

/** Fraction of the concurrent loads that additional staged copies leave available to endpoints without any model. */
const RESERVED_LOAD_FRACTION = 1 / 3;
/**
 * Number of concurrent loads that the loads for a rebalance leave available to endpoints without any model. Two loads of
 * 16 s at a time let one new endpoint every 8 s start its load at once.
 */
const RESERVED_LOADS = 2;

const REBALANCE_REASON = "its members are needed more for another model";

/** Plans the next orders as a pure function of endpoints' reports, so that a new leader can continue. */
export function planEngineOrders(input: OrderPlanInput): PlannedOrder[] {
    return new OrderPlan(input).assemble();
}

class OrderPlan {
    private readonly orders: PlannedOrder[] = [];
    private readonly groups: EngineGroup[];
    /** Endpoints that get an order by this plan, by id: a second order would not match the state that the first leaves. */
    private readonly orderedIds = new Set<string>();
    /** Endpoints that are ordered into a group that is being formed, by id, whether they have joined it or not. */
    private readonly formingIds = new Set<string>();
    /** Usable endpoints that belong to no active group, by fabric domain. */
    private readonly free = new Map<string, EndpointView[]>();
    private readonly allocation = new Allocation();
    /** Endpoints that may be group members, by fabric domain. */
    private readonly usable = new Map<string, EndpointView[]>();
    /** Models that groups can be formed of, as the profile lists them. */
    private readonly listedModels: EngineModelProfile[];
    /** The same by descending group size. */
    private readonly models: EngineModelProfile[];
    private readonly conditions: GroupConditions;
    private readonly chooser: GroupChooser;

    constructor(private readonly input: OrderPlanInput) {
        this.groups = listEngineGroups(input.views);
        this.conditions = new GroupConditions(input);
        this.listedModels = input.profile.models.filter(canForm);
        this.models = [...this.listedModels].sort((left, right) => right.groupSize - left.groupSize);
        const { listedModels, models, allocation, usable, free } = this;
        this.chooser = new GroupChooser({ input, listedModels, models, allocation, usable, free });
    }

    assemble(): PlannedOrder[] {
        const activeKeys = this.planExistingGroups();
        if (!this.input.isSettled || this.models.length === 0) {
            return this.orders;
        }
        this.collectFree(activeKeys);
        this.formGroups({ canLoad: this.input.isBeforeTraffic });
        if (!this.input.isBeforeTraffic) {
            // Groups whose members have not reported yet seem to be missing, and others would be dissolved for them.
            if (this.input.hasCompleteView) {
                this.planRebalance();
            }
            this.planStragglers();
            this.formGroups({ canLoad: true });
        }
        this.planStandbys();
        if (this.input.hasCompleteView) {
            const reservedSlots = this.countReservedLoads();
            planStagedCopies({
                groups: this.groups,
                models: this.models,
                usable: this.usable,
                free: this.free,
                getStagingModel: view => this.input.getStagingModel(view),
                stage: (view, model) => this.stage(view, model, reservedSlots),
            });
        }
        return this.orders;
    }

    /**
     * Opens complete groups, completes joins and dissolves groups that cannot serve. Returns the keys of the active
     * groups, whose members are not free.
     */
    private planExistingGroups(): Set<string> {
        const activeKeys = new Set<string>();
        // Older groups first: a newer one is given up if a member has joined an older one that is still active.
        const groups = this.groups.filter(item => !item.isStandby).sort((left, right) => left.epoch - right.epoch);
        for (const group of groups) {
            const isForming = this.conditions.isForming(group, activeKeys);
            const isComplete = group.isComplete && this.conditions.canKeepMembers(group);
            const mustKeep = !isComplete && !isForming && !this.conditions.isConfirmedDegraded(group);
            if (isComplete || isForming || mustKeep) {
                activeKeys.add(group.key);
                this.countGroup(group);
            }
            if (isForming) {
                this.completeJoins(group);
            }
            else if (this.conditions.isDraining(group)) {
                activeKeys.add(group.key);
            }
            else if (!isComplete && !mustKeep) {
                this.releaseMembers(group, activeKeys);
            }
            else if (isComplete && this.conditions.canOpen(group) && !this.input.isOpening(group.key)) {
                this.push(
                    group.head!,
                    { kind: "open", group: group.name, epoch: group.epoch },
                    "every member is ready",
                );
            }
        }
        return activeKeys;
    }

    /** Orders members to join that have not reported the group yet. */
    private completeJoins(group: EngineGroup): void {
        const ordered = this.input.getOrderedMembers(group.key) ?? [];
        for (const id of ordered) {
            this.formingIds.add(id);
            const view = this.conditions.findView(id);
            const current = view?.engine?.group;
            if (view !== undefined && (current?.epoch !== group.epoch || current.name !== group.name)) {
                this.pushJoin(view, group.name, group.epoch, group.model, ordered, "its join had no effect yet");
            }
        }
    }

    /** Orders the head to leave. Until it has left or is lost, it may serve, so the group keeps its members. */
    private releaseMembers(group: EngineGroup, activeKeys: Set<string>): void {
        if (group.head === undefined) {
            const hasLeft = this.input.getOrderedMembers(group.key)?.length === 0;
            const isHeadGone = this.input.isPartitionWindowOver && !this.conditions.canHeadServe(group);
            if (!group.isHeadLost && !hasLeft && !isHeadGone) {
                activeKeys.add(group.key);
            }
            return;
        }
        activeKeys.add(group.key);
        this.push(group.head, { kind: "leave", group: group.name, epoch: group.epoch }, "a member is missing");
    }

    private collectFree(activeKeys: Set<string>): void {
        for (const view of this.input.views) {
            const domain = view.engine?.fabricDomain;
            if (
                domain === undefined || view.isLost || view.isLeaving || !view.isObserved
                || !this.conditions.isFresh(view)
            ) {
                continue;
            }
            if (this.input.isEvacuated?.(view) === true) {
                continue;
            }
            this.usable.set(domain, [...this.usable.get(domain) ?? [], view]);
            const group = view.engine?.group;
            const isInGroup = group !== undefined && activeKeys.has(formatGroupKey(group.name, group.epoch));
            if (!isInGroup && !this.formingIds.has(view.id)) {
                this.free.set(domain, [...this.free.get(domain) ?? [], view]);
            }
        }
    }

    /**
     * Forms groups until none can be formed. Once traffic has begun, members that must load are ordered to stage the
     * model first, and a later plan forms their group.
     */
    private formGroups(options: { canLoad: boolean }): void {
        for (;;) {
            const choice = this.chooser.choose(options.canLoad);
            if (choice === undefined) {
                return;
            }
            const { model, domain, members, cold } = choice;
            this.removeFree(domain, members);
            if (cold.length > 0 && !this.input.isBeforeTraffic) {
                cold.forEach(view => this.stage(view, model));
                continue;
            }
            this.allocation.addGroup(model.name, 1);
            this.formGroup(model, members);
        }
    }

    private countGroup(group: EngineGroup): void {
        if (this.input.isEvacuated?.(group.members[0]) !== true) {
            this.allocation.addGroup(group.model, this.getAcceptedPart(group));
        }
    }

    private getAcceptedPart(group: EngineGroup): number {
        const model = this.models.find(item => item.name === group.model);
        return group.head === undefined || model === undefined
            ? 1
            : this.input.getAcceptedPart?.(group.head, model) ?? 1;
    }

    private formGroup(model: EngineModelProfile, members: EndpointView[]): void {
        const epoch = this.input.createEpoch();
        const name = formatGroupName({ isStandby: false, model: model.name, size: model.groupSize });
        const ids = members.map(view => view.id);
        members.forEach(view => this.pushJoin(view, name, epoch, model.name, ids, "a group is formed"));
    }

    /**
     * Keeps each remaining endpoint ready for two models. It joins a standby group of its own with one model, usually
     * that of the larger groups, so that it can join another group of that model almost at once. Its host stages a
     * second model, which then loads from memory.
     */
    private planStandbys(): void {
        for (const [domain, views] of this.free) {
            for (const view of views) {
                const isIdle = !this.models.some(model => isWarm(view, model) || isStandbyOf(view, model));
                const staged = this.models.find(model => isStaged(view, model));
                if (isIdle && staged === undefined) {
                    this.stage(view, this.chooseStageModel(domain, view));
                }
                else if (isIdle && staged !== undefined && !this.chooser.mustAwaitOtherLoad(view, staged)) {
                    this.joinStandby(view, staged);
                }
            }
        }
    }

    /** Chooses a model of which one more endpoint completes a group in the domain, else that of the largest groups. */
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
        const byNeed = [...this.models].sort((left, right) =>
            this.allocation.computeAccepting(left) - this.allocation.computeAccepting(right)
        );
        return byNeed.find(isCompleted) ?? this.models[0];
    }

    private countReservedLoads(): number {
        return Math.ceil(this.input.profile.maxConcurrentLoads * RESERVED_LOAD_FRACTION);
    }

    /** Dissolves groups whose members form groups of a model with a lower allocation. */
    private planRebalance(): void {
        const input: RebalanceInput = {
            groups: this.listServing(),
            models: this.models,
            allocation: this.allocation,
            free: this.free,
            isReady: (view, model) => !mustLoad(view, model) && !this.chooser.mustAwaitOtherLoad(view, model),
            isStaging: (view, model) => this.input.getStagingModel(view) === model.name,
        };
        if (this.input.rebalances !== undefined) {
            this.planMeasuredRebalance(input, this.input.rebalances);
            return;
        }
        const rebalance = chooseDeclaredRebalance({ ...input, isReady: (view, model) => !mustLoad(view, model) });
        rebalance?.groups.forEach(group => this.releaseGroup(group, REBALANCE_REASON));
    }

    /** One rebalance at a time: until a dissolved group's head has left, the counts don't show it. */
    private planMeasuredRebalance(input: RebalanceInput, rebalances: RebalanceHistory): void {
        const leaving = input.groups.filter(group => this.input.getOrderedMembers(group.key)?.length === 0);
        if (leaving.length > 0) {
            leaving.forEach(group => this.releaseGroup(group, REBALANCE_REASON));
            return;
        }
        const rebalance = chooseMeasuredRebalance(input);
        if (rebalance === undefined || !rebalances.admitRebalance(rebalance, this.input.now)) {
            return;
        }
        if (rebalance.unfinishedLoads > 0) {
            this.stageAhead(rebalance);
            return;
        }
        // Groups that are dissolved one by one would form again before there are members enough for the other model.
        const canRelease = rebalance.groups.every(({ head }) => head !== undefined && this.canOrder(head));
        if (!canRelease || !rebalances.isLasting(this.input.now)) {
            return;
        }
        rebalance.groups.forEach(group => this.releaseGroup(group, REBALANCE_REASON));
        rebalances.recordStart(rebalance, this.input.now);
    }

    /** Loads the model of the groups to come while the present ones serve. */
    private stageAhead({ unready, loads, recipient }: Rebalance): void {
        const reservedSlots = Math.min(RESERVED_LOADS, this.countReservedLoads());
        let left = loads;
        for (const view of unready) {
            if (left > 0 && this.stage(view, recipient, reservedSlots)) {
                left--;
            }
        }
    }

    /** Lists the complete replica groups that serve and may be dissolved. */
    private listServing(): EngineGroup[] {
        return this.groups.filter(group =>
            group.isComplete && group.isOpen && !group.isStandby && group.head !== undefined
            && this.input.isEvacuated?.(group.head) !== true
        );
    }

    /** Orders the head to leave. What remains of the domain's plan waits until it has. */
    private releaseGroup(group: EngineGroup, reason: string): void {
        if (group.head !== undefined) {
            this.push(group.head, { kind: "leave", group: group.name, epoch: group.epoch }, reason);
            this.free.delete(group.head.engine?.fabricDomain ?? "");
        }
    }

    /** Dissolves groups with stragglers if enough free endpoints can replace the stragglers without a load. */
    private planStragglers(): void {
        for (const group of this.listServing()) {
            const model = this.models.find(item => item.name === group.model);
            const domain = group.head?.engine?.fabricDomain ?? "";
            const slowCount = group.members.filter(isStraggler).length;
            const free = this.free.get(domain) ?? [];
            const ready = model === undefined ? [] : free.filter(view => !isStraggler(view) && !mustLoad(view, model));
            if (slowCount > 0 && ready.length >= slowCount) {
                this.releaseGroup(group, "a member is far slower than the others");
            }
        }
    }

    private joinStandby(view: EndpointView, model: EngineModelProfile): void {
        const name = formatGroupName({ isStandby: true, model: model.name, size: 1 });
        this.pushJoin(view, name, this.input.createEpoch(), model.name, [view.id], "a standby is kept warm");
    }

    /** Orders a load into the host's memory if the budget admits it; returns whether it did. */
    private stage(view: EndpointView, model: EngineModelProfile, reservedSlots = 0): boolean {
        if (
            this.orderedIds.has(view.id) || this.input.getStagingModel(view) !== undefined
            || this.input.isOrderPending(view)
        ) {
            return false;
        }
        if (!this.input.admitLoad(model.loadMs, reservedSlots)) {
            return false;
        }
        this.push(view, { kind: "stage", model: model.name }, "the model is staged in host memory");
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

    /** Whether an order to the endpoint matches the state that it has when the order arrives. */
    private canOrder(view: EndpointView): boolean {
        return !this.orderedIds.has(view.id) && !this.input.isOrderPending(view);
    }

    private push(target: EndpointView, order: OrderBody, reason: string): void {
        if (target.engine === undefined || !this.canOrder(target)) {
            return;
        }
        this.orderedIds.add(target.id);
        const fencedOrder = { ...order, expectedSequence: target.engine.orderSequence, fence: this.input.fence };
        this.orders.push({ target, order: fencedOrder, reason });
    }

    private removeFree(domain: string, members: EndpointView[]): void {
        this.free.set(domain, (this.free.get(domain) ?? []).filter(view => !members.includes(view)));
    }
}

/** Whether groups of a model can be formed: a model without members or without a share is never satisfied. */
function canForm(model: EngineModelProfile): boolean {
    return Number.isSafeInteger(model.groupSize) && model.groupSize > 0 && model.share > 0;
}

type OrderBody = EngineOrder extends infer Order
    ? Order extends EngineOrder ? Omit<Order, "expectedSequence" | "fence"> : never
    : never;
