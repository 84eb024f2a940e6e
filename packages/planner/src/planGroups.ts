import { formatServiceVersion, isVmDraining, listGroups, listServices, listVms } from "@kumquathall/control-state";
import {
    type Command,
    type ConfigurationValue,
    GroupState,
    type ModelLoad,
    type ReplicaGroup,
    type ServiceDefinition,
    ServiceKind,
    type VmRecord,
    VmState,
} from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";
import { type Objective, selectObjective } from "./objective.js";

export interface PlannerOptions {
    /** Groups that may load at the same time; the weight store's rate is shared among them. */
    maxLoadingGroups?: number;
    /** Replaces the objective that a service's weights choose. */
    selectObjective?: (service: ServiceDefinition) => Objective;
}

export interface PlannerInput {
    configuration: VersionedMap<ConfigurationValue>;
    /** Time of the plan, ISO 8601, written into the commands. */
    at: string;
    /** Returns a new group id. */
    createGroupId: () => string;
    options?: PlannerOptions;
}

const DEFAULT_MAX_LOADING_GROUPS = 8;

/** Computes the commands that bring replica groups closer to what services declare. Several may be refused if the state moved on. */
export function planGroups(input: PlannerInput): Command[] {
    return new GroupPlan(input).assemble();
}

interface DomainPool {
    name: string;
    free: VmRecord[];
}

/** One plan in the making. */
class GroupPlan {
    private readonly commands: Command[] = [];
    private readonly services: ServiceDefinition[];
    private readonly groups: ReplicaGroup[];
    private readonly vms = new Map<string, VmRecord>();
    private readonly domains = new Map<string, DomainPool>();
    private loadingLeft: number;
    /** Some service lacks a declared group and found no VMs for it. */
    private isAnyUnmet = false;

    constructor(private readonly input: PlannerInput) {
        const { configuration } = input;
        this.services = listServices(configuration).filter(service => service.kind === ServiceKind.Model);
        this.groups = listGroups(configuration);
        for (const vm of listVms(configuration)) {
            this.vms.set(vm.id, vm);
            if (
                vm.state === VmState.Free && vm.present && vm.attributes.kind === "model"
                && !isVmDraining(configuration, vm)
            ) {
                this.addFreeVm(vm);
            }
        }
        const loading = this.groups.filter(group => group.state === GroupState.Loading).length;
        this.loadingLeft = (input.options?.maxLoadingGroups ?? DEFAULT_MAX_LOADING_GROUPS) - loading;
    }

    assemble(): Command[] {
        this.releaseUndeclared();
        for (const service of this.listByNeed()) {
            this.planService(service);
        }
        this.drainSurplus();
        for (const service of this.services) {
            if (this.getObjective(service).canUseSurplus(service)) {
                this.planSurplus(service);
            }
        }
        return this.commands;
    }

    private addFreeVm(vm: VmRecord): void {
        const name = `${vm.attributes.dataCentre}/${vm.attributes.fabricDomain}`;
        const pool = this.domains.get(name) ?? { name, free: [] };
        pool.free.push(vm);
        this.domains.set(name, pool);
    }

    private getObjective(service: ServiceDefinition): Objective {
        return (this.input.options?.selectObjective ?? selectObjective)(service);
    }

    /** Groups of services that are no longer declared leave. */
    private releaseUndeclared(): void {
        for (const group of this.groups) {
            const isDeclared = this.services.some(service => isGroupOf(group, service));
            if (!isDeclared && (group.state === GroupState.Serving || group.state === GroupState.Loading)) {
                this.drainGroup(group, "its service is not declared");
            }
        }
    }

    /** Services with the largest share of their capacity missing come first. */
    private listByNeed(): ServiceDefinition[] {
        const computeNeed = (service: ServiceDefinition) =>
            service.objective.groupDowntime
            * (1 - this.listActive(service).length / Math.max(1, service.capacity.groups));
        return [...this.services].sort((left, right) => computeNeed(right) - computeNeed(left));
    }

    private listActive(service: ServiceDefinition): ReplicaGroup[] {
        return this.groups.filter(group =>
            isGroupOf(group, service) && (group.state === GroupState.Serving || group.state === GroupState.Loading)
        );
    }

    private planService(service: ServiceDefinition): void {
        const active = this.listActive(service);
        const leaving = active.filter(group => this.mustLeave(group, service));
        const staying = active.filter(group => !leaving.includes(group));
        let missing = service.capacity.groups - staying.length;
        while (missing > 0 && this.formGroup(service, 0)) {
            missing--;
        }
        const serving = staying.filter(group => group.state === GroupState.Serving).length;
        if (missing > 0 && this.loadingLeft > 0) {
            this.isAnyUnmet = true;
        }
        this.drainLeaving(service, leaving, serving, missing);
        this.drainExcess(service, staying);
    }

    /** A leaving group goes once others hold the declared capacity, or when no replacement can be formed beside it. */
    private drainLeaving(service: ServiceDefinition, leaving: ReplicaGroup[], serving: number, missing: number): void {
        let held = serving + leaving.filter(group => group.state === GroupState.Serving).length;
        let forced = Math.max(0, Math.min(1, missing));
        const isReplacementLoading = this.listActive(service).some(group =>
            group.state === GroupState.Loading && !leaving.includes(group)
        );
        for (const group of leaving) {
            const isCovered = held > service.capacity.groups;
            const isForced = forced > 0 && !isReplacementLoading && this.loadingLeft > 0;
            const isOrdered = this.isOnDrainingVm(group) && missing > 0 && !isReplacementLoading;
            if (group.state === GroupState.Loading || isCovered || isForced || isOrdered || this.isOnLeavingVm(group)) {
                this.drainGroup(
                    group,
                    this.isOnDrainingVm(group) ? "a member is being drained" : "a newer service version is declared",
                );
                held--;
                forced--;
            }
        }
    }

    private drainExcess(service: ServiceDefinition, staying: ReplicaGroup[]): void {
        if (this.getObjective(service).canUseSurplus(service)) {
            return;
        }
        for (const group of staying.slice(service.capacity.groups)) {
            this.drainGroup(group, "the declared capacity is lower");
        }
    }

    /** A service that finds no VMs takes them back from a group above another's declared capacity, one group at a time. */
    private drainSurplus(): void {
        const isOneOnItsWay = this.groups.some(group => group.state === GroupState.Draining);
        if (!this.isAnyUnmet || isOneOnItsWay) {
            return;
        }
        for (const service of this.services) {
            const serving = this.listActive(service).filter(group => group.state === GroupState.Serving);
            if (serving.length > service.capacity.groups) {
                this.drainGroup(serving[serving.length - 1], "another service lacks a declared group");
                return;
            }
        }
    }

    private planSurplus(service: ServiceDefinition): void {
        const isWaiting = this.services.some(other =>
            this.listActive(other).length < other.capacity.groups && other.service !== service.service
        );
        if (isWaiting) {
            return;
        }
        while (this.formGroup(service, this.getObjective(service).countSpares(service))) {
            // Each round takes the VMs of one more group.
        }
    }

    private mustLeave(group: ReplicaGroup, service: ServiceDefinition): boolean {
        return this.hasOtherLoad(group, service) || this.isOnDrainingVm(group);
    }

    /** A change of limits or accounts needs no new load; a change of models, adapters or shape does. */
    private hasOtherLoad(group: ReplicaGroup, service: ServiceDefinition): boolean {
        return group.vms.length !== service.replicaGroup.vms
            || JSON.stringify(group.models) !== JSON.stringify(listLoads(service));
    }

    private isOnDrainingVm(group: ReplicaGroup): boolean {
        return group.vms.some(id => {
            const vm = this.vms.get(id);
            return vm !== undefined && isVmDraining(this.input.configuration, vm);
        });
    }

    /** An agent that is stopping waits for its group to drain; it must not wait for a replacement. */
    private isOnLeavingVm(group: ReplicaGroup): boolean {
        return group.vms.some(id => this.vms.get(id)?.attributes.isLeaving === true);
    }

    private drainGroup(group: ReplicaGroup, reason: string): void {
        this.commands.push({ kind: "drainGroup", groupId: group.id, reason, at: this.input.at });
    }

    /** Forms one group in the cheapest domain that keeps `spares` VMs free; returns whether one had room. */
    private formGroup(service: ServiceDefinition, spares: number): boolean {
        if (this.loadingLeft <= 0) {
            return false;
        }
        const objective = this.getObjective(service);
        const warmth = formatServiceVersion(service.institution, service.service, service.version);
        let best: { pool: DomainPool; members: VmRecord[]; cost: number } | undefined;
        for (const pool of this.domains.values()) {
            const usable = pool.free.filter(vm => vm.attributes.accelerators >= service.replicaGroup.acceleratorsPerVm);
            if (usable.length < service.replicaGroup.vms + spares) {
                continue;
            }
            usable.sort((left, right) => Number(right.warmFor === warmth) - Number(left.warmFor === warmth));
            const members = usable.slice(0, service.replicaGroup.vms);
            const cost = objective.computeCost(service, members, usable.length, warmth);
            if (best === undefined || cost < best.cost) {
                best = { pool, members, cost };
            }
        }
        if (best === undefined) {
            return false;
        }
        const chosen = best.members;
        best.pool.free = best.pool.free.filter(vm => !chosen.includes(vm));
        this.loadingLeft--;
        this.commands.push({
            kind: "formGroup",
            groupId: this.input.createGroupId(),
            institution: service.institution,
            service: service.service,
            serviceVersion: service.version,
            vms: chosen.map(vm => vm.id),
            models: listLoads(service),
            at: this.input.at,
        });
        return true;
    }
}

function isGroupOf(group: ReplicaGroup, service: ServiceDefinition): boolean {
    return group.institution === service.institution && group.service === service.service;
}

function listLoads(service: ServiceDefinition): ModelLoad[] {
    return service.models.map(model => ({ model: model.name, version: model.version, adapters: model.adapters }));
}
