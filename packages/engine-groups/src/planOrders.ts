import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState, type EngineModelProfile, type EngineOrder, type EngineProfile } from "@kumquathall/types";
import { Allocation } from "./allocation.js";
import { isStaged, isStandbyOf, isStraggler, isWarm, mustLoad } from "./engineState.js";
import { formatGroupName, parseGroupName } from "./groupName.js";
import { type EngineGroup, formatGroupKey, listEngineGroups } from "./listGroups.js";
import { chooseDeclaredRebalance, chooseMeasuredRebalance, type Rebalance, type RebalanceInput } from "./rebalance.js";
import type { RebalanceHistory } from "./rebalanceHistory.js";

/** What the plan is computed from. Times are local monotonic milliseconds. */
export interface OrderPlanInput {
    /** Endpoints of one engine service. */
    views: EndpointView[];
    profile: EngineProfile;
    now: number;
    /** No client request has arrived yet: loads are fast, so groups may be formed from members that must load. */
    isBeforeTraffic: boolean;
    /** Every live endpoint has had time to report to this leader: a member that has not reported is lost. */
    hasCompleteView: boolean;
    /** Endpoints have been tracked for longer than a network partition lasts: a head that never reported is lost. */
    isPartitionWindowOver: boolean;
    /** No new endpoints are appearing any more, as they do one after another when a deployment or a leader starts. */
    isSettled: boolean;
    fence: number;
    /** Returns an epoch larger than all earlier ones. */
    createEpoch: () => number;
    /** Whether an order to this endpoint may still take effect. */
    isOrderPending: (view: EndpointView) => boolean;
    /** Admits one load from the weight store if that leaves `reservedSlots` concurrent loads available. */
    admitLoad: (durationMs: number, reservedSlots: number) => boolean;
    /** Members that this leader ordered into a group: none after it ordered the head to leave, undefined if unknown. */
    getOrderedMembers: (groupKey: string) => string[] | undefined;
    /** Whether the endpoint was ordered to join another group than this one, and may still do so. */
    canJoinOther: (view: EndpointView, groupKey: string) => boolean;
    /** Whether the head was recently ordered to open and may still do so. */
    isOpening: (groupKey: string) => boolean;
    /** Name of the model that an endpoint was ordered to stage and has not staged yet. */
    getStagingModel: (view: EndpointView) => string | undefined;
    /** Part of a group's usual work that its head accepts, 0 to 1: less than 1 if the head limits its requests. */
    getAcceptedPart?: (head: EndpointView, model: EngineModelProfile) => number;
    /**
     * Past rebalances, if the profile has measured shares or a data centre is evacuated: groups are then dissolved by
     * {@link chooseMeasuredRebalance}.
     */
    rebalances?: RebalanceHistory;
    /** Whether an endpoint's data centre is evacuated: no group is formed there, and open groups stay and don't count. */
    isEvacuated?: (view: EndpointView) => boolean;
}

export interface PlannedOrder {
    target: EndpointView;
    order: EngineOrder;
    /** Reason for the order, for the log. */
    reason: string;
}

/** An endpoint whose report is older than this is not a member of new groups, and its group is not opened. */
const MAX_REPORT_AGE_MS = 2500;
/** An endpoint that has sent neither heartbeat nor observation for this long serves no more; partitions are shorter. */
const MAX_SILENCE_MS = 15_000;
/** Fraction of a fabric domain's endpoints that are kept as standbys when groups are first formed. */
const STANDBY_FRACTION = 1 / 12;

/** Fraction of the concurrent loads that additional staged copies leave available to endpoints without any model. */
const RESERVED_LOAD_FRACTION = 1 / 3;
/**
 * Number of concurrent loads that the loads for a rebalance leave available to endpoints without any model. Two loads of
 * 16 s at a time let one new endpoint every 8 s start its load at once.
 */
const RESERVED_LOADS = 2;

const REBALANCE_REASON = "its members are needed more for another model";

/** How soon an endpoint can join a group of a model, fastest first. */
const JoinRank = { Warm: 0, Staged: 1, Staging: 2, Empty: 3, HoldsAnother: 4 } as const;

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
    private readonly viewsById: Map<string, EndpointView>;

    constructor(private readonly input: OrderPlanInput) {
        this.groups = listEngineGroups(input.views);
        this.viewsById = new Map(input.views.map(view => [view.id, view]));
        this.listedModels = input.profile.models.filter(canForm);
        this.models = [...this.listedModels].sort((left, right) => right.groupSize - left.groupSize);
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
            this.planStagedCopies();
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
            const isForming = this.isForming(group, activeKeys);
            const isComplete = group.isComplete && this.canKeepMembers(group);
            const mustKeep = !isComplete && !isForming && !this.isConfirmedDegraded(group);
            if (isComplete || isForming || mustKeep) {
                activeKeys.add(group.key);
                this.countGroup(group);
            }
            if (isForming) {
                this.completeJoins(group);
            }
            else if (this.isDraining(group)) {
                activeKeys.add(group.key);
            }
            else if (!isComplete && !mustKeep) {
                this.releaseMembers(group, activeKeys);
            }
            else if (isComplete && this.canOpen(group) && !this.input.isOpening(group.key)) {
                this.push(
                    group.head!,
                    { kind: "open", group: group.name, epoch: group.epoch },
                    "every member is ready",
                );
            }
        }
        return activeKeys;
    }

    /**
     * Whether all ordered members are alive, staying and in no newer or active group, and some have not reported joining
     * yet. Joins may take effect seconds after they were ordered, and after joins that were ordered later.
     */
    private isForming(group: EngineGroup, activeKeys: Set<string>): boolean {
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
            if (other === undefined || other.epoch > group.epoch) {
                return other === undefined;
            }
            return other.epoch === group.epoch
                ? !this.input.canJoinOther(view, group.key)
                : !activeKeys.has(formatGroupKey(other.name, other.epoch));
        });
    }

    /**
     * Whether a complete group keeps its members: one that does not serve yet is given up if a member was ordered into
     * another group and may still join it.
     */
    private canKeepMembers(group: EngineGroup): boolean {
        return group.isOpen || this.input.isOpening(group.key)
            || !group.members.some(member => this.input.canJoinOther(member, group.key));
    }

    /**
     * Whether members are leaving while the head still runs requests. Gateways send no new requests to the head, and
     * a leaving member terminates after a while even if the head still runs some, so draining always ends.
     */
    private isDraining(group: EngineGroup): boolean {
        const { running = 0, waiting = 0 } = group.head?.engine ?? {};
        return group.isDegraded && !group.isBroken && group.isOpen && group.members.length === group.size
            && running + waiting > 0;
    }

    /**
     * Whether an incomplete group is certain to lack a member: a member is known to be lost or leaving, every live
     * endpoint has reported, or this leader ordered the members itself.
     */
    private isConfirmedDegraded(group: EngineGroup): boolean {
        return group.isDegraded || this.input.hasCompleteView || this.input.getOrderedMembers(group.key) !== undefined;
    }

    /** Orders members to join that have not reported the group yet. */
    private completeJoins(group: EngineGroup): void {
        const ordered = this.input.getOrderedMembers(group.key) ?? [];
        for (const id of ordered) {
            this.formingIds.add(id);
            const view = this.findView(id);
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
            const isHeadGone = this.input.isPartitionWindowOver && !this.canHeadServe(group);
            if (!group.isHeadLost && !hasLeft && !isHeadGone) {
                activeKeys.add(group.key);
            }
            return;
        }
        activeKeys.add(group.key);
        this.push(group.head, { kind: "leave", group: group.name, epoch: group.epoch }, "a member is missing");
    }

    /**
     * Whether the head can be an endpoint that is alive and that no sidecar observes now, so that what is known of it may
     * be from before it joined the group.
     */
    private canHeadServe(group: EngineGroup): boolean {
        const headId = this.input.getOrderedMembers(group.key)?.at(0);
        const domain = group.members[0].engine?.fabricDomain;
        return this.input.views.some(view => {
            const isCandidate = headId === undefined ? view.engine?.fabricDomain === domain : view.id === headId;
            const isObserved = view.isObserved && this.isFresh(view);
            return isCandidate && !view.isLost && !isObserved && !group.members.includes(view)
                && this.input.now - view.lastSeenAt < MAX_SILENCE_MS;
        });
    }

    private canOpen(group: EngineGroup): boolean {
        return group.isReady && group.head !== undefined
            && group.head.engine?.group?.state === EngineGroupState.Ready
            && group.members.every(member => this.isFresh(member));
    }

    private collectFree(activeKeys: Set<string>): void {
        for (const view of this.input.views) {
            const domain = view.engine?.fabricDomain;
            if (domain === undefined || view.isLost || view.isLeaving || !view.isObserved || !this.isFresh(view)) {
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
            this.allocation.addGroup(model.name, 1);
            this.formGroup(model, members);
        }
    }

    /** Chooses the most underallocated model that can form a group, and the domain with the fewest loads. */
    private chooseGroup(canLoad: boolean) {
        const models = [...this.listedModels].sort((left, right) =>
            this.allocation.computeAccepting(left) - this.allocation.computeAccepting(right)
        );
        for (const model of models) {
            const choices = [...this.free.keys()].flatMap(domain => {
                const reserved = this.listReserved(domain, model);
                const candidates = this.listCandidates(domain, model).filter(view => !reserved.includes(view));
                const standbyCount = this.input.isBeforeTraffic ? this.countReservedStandbys(domain) : 0;
                if (candidates.length < model.groupSize + standbyCount) {
                    return [];
                }
                const members = candidates.slice(0, model.groupSize);
                const cold = members.filter(view => mustLoad(view, model));
                if (cold.length > 0 && !canLoad) {
                    return [];
                }
                return [{ model, domain, members, cold, leftover: candidates.length - members.length }];
            });
            // Best fit: other domains keep enough free endpoints for larger groups.
            choices.sort((left, right) => left.cold.length - right.cold.length || left.leftover - right.leftover);
            if (choices.length > 0) {
                return choices[0];
            }
        }
        return undefined;
    }

    /** Lists free endpoints of a domain that can be members: stragglers last, otherwise the fastest to join first. */
    private listCandidates(domain: string, model: EngineModelProfile): EndpointView[] {
        return (this.free.get(domain) ?? [])
            .filter(view => !this.input.isOrderPending(view) && !this.mustAwaitOtherLoad(view, model))
            .sort((left, right) =>
                Number(isStraggler(left)) - Number(isStraggler(right))
                || this.computeJoinRank(left, model) - this.computeJoinRank(right, model)
            );
    }

    /**
     * Lists endpoints that a model with its full share of the fleet must not use: those that are ready for a model
     * with a lower allocation and make up more than half of a group of it, so that a new endpoint can complete that
     * group.
     */
    private listReserved(domain: string, model: EngineModelProfile): EndpointView[] {
        if (
            this.input.isBeforeTraffic || this.allocation.getCount(model.name) < this.computeTargetCount(model)
        ) {
            return [];
        }
        const free = this.free.get(domain) ?? [];
        return this.models.filter(other =>
            this.allocation.computeAccepting(other) < this.allocation.computeAccepting(model)
        ).flatMap(
            other => {
                const ready = free.filter(view =>
                    !mustLoad(view, other) || this.input.getStagingModel(view) === other.name
                );
                return ready.length * 2 > other.groupSize ? ready : [];
            },
        );
    }

    /** Number of groups that a model's share of the usable endpoints allows. */
    private computeTargetCount(model: EngineModelProfile): number {
        const count = [...this.usable.values()].reduce((sum, views) => sum + views.length, 0);
        return Math.floor(count * model.share / model.groupSize);
    }

    /** Whether the whole group would wait for this member, because its host is still loading another model. */
    private mustAwaitOtherLoad(view: EndpointView, model: EngineModelProfile): boolean {
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

    /** Number of endpoints of a domain that are kept as standbys when groups are first formed. */
    private countReservedStandbys(domain: string): number {
        return Math.ceil((this.usable.get(domain)?.length ?? 0) * STANDBY_FRACTION);
    }

    private countGroup(group: EngineGroup): void {
        if (group.head === undefined || this.input.isEvacuated?.(group.head) !== true) {
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
                else if (isIdle && staged !== undefined && !this.mustAwaitOtherLoad(view, staged)) {
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

    /**
     * Stages models on hosts whose engines do not serve them, so that members can change groups without a load from
     * the weight store. The hosts of a domain always keep enough staged copies for all its groups to be formed again
     * after a restart of every engine.
     */
    private planStagedCopies(): void {
        const reservedSlots = this.countReservedLoads();
        for (const [domain, views] of this.usable) {
            const counts = new Map(this.models.map(model => [model.name, this.countCopies(views, model)]));
            const needs = new Map(this.models.map(model => [model.name, this.countMembers(domain, model)]));
            const hasSurplus = (name: string) => (counts.get(name) ?? 0) > (needs.get(name) ?? 0);
            // Standbys come first because they are the next to join a group.
            const free = this.free.get(domain) ?? [];
            const isStandbyWorkDone = free.every(view => {
                const warm = this.models.find(model => isWarm(view, model));
                return warm !== undefined && (!isStaged(view, warm) || !hasSurplus(warm.name));
            });
            for (const view of isStandbyWorkDone ? this.listByGroupSize(views) : free) {
                const warm = this.models.find(model => isWarm(view, model));
                const other = this.models.find(model => model !== warm);
                if (warm === undefined || other === undefined || !isStaged(view, warm)) {
                    continue;
                }
                if (
                    this.input.getStagingModel(view) === undefined && hasSurplus(warm.name)
                    && this.stage(view, other, reservedSlots)
                ) {
                    counts.set(warm.name, (counts.get(warm.name) ?? 0) - 1);
                    counts.set(other.name, (counts.get(other.name) ?? 0) + 1);
                }
            }
        }
    }

    private countReservedLoads(): number {
        return Math.ceil(this.input.profile.maxConcurrentLoads * RESERVED_LOAD_FRACTION);
    }

    /** Number of hosts that hold a model in memory; a host that is loading counts for the model that it loads. */
    private countCopies(views: EndpointView[], model: EngineModelProfile): number {
        return views.filter(view => {
            const staging = this.input.getStagingModel(view);
            return staging === undefined ? isStaged(view, model) : staging === model.name;
        }).length;
    }

    /** Number of members of a model's complete groups in a domain. */
    private countMembers(domain: string, model: EngineModelProfile): number {
        return this.groups.filter(group =>
            !group.isStandby && group.isComplete && group.model === model.name
            && group.head?.engine?.fabricDomain === domain
        ).length * model.groupSize;
    }

    /** Sorts endpoints by the size of their group: standbys first, then members of small groups. */
    private listByGroupSize(views: EndpointView[]): EndpointView[] {
        const getSize = (view: EndpointView) => parseGroupName(view.engine?.group?.name ?? "")?.size ?? 0;
        return [...views].sort((left, right) => getSize(left) - getSize(right));
    }

    /** Dissolves groups whose members form groups of a model with a lower allocation. */
    private planRebalance(): void {
        const input: RebalanceInput = {
            groups: this.listServing(),
            models: this.models,
            allocation: this.allocation,
            free: this.free,
            isReady: (view, model) => !mustLoad(view, model) && !this.mustAwaitOtherLoad(view, model),
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

    private push(target: EndpointView, order: OrderBody, reason: string): void {
        if (target.engine === undefined || this.orderedIds.has(target.id) || this.input.isOrderPending(target)) {
            return;
        }
        this.orderedIds.add(target.id);
        const fencedOrder = { ...order, expectedSequence: target.engine.orderSequence, fence: this.input.fence };
        this.orders.push({ target, order: fencedOrder, reason });
    }

    private isFresh(view: EndpointView): boolean {
        return this.input.now - view.engineReportedAt < MAX_REPORT_AGE_MS;
    }

    private findView(id: string): EndpointView | undefined {
        return this.viewsById.get(id);
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
