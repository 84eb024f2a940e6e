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
    /** Groups that may load at the same time. They share the rate of the weight store. */
    maxLoadingGroups?: number;
    /** Overrides {@link selectObjective}. */
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

/**
 * Computes commands that bring the replica groups closer to the declared services. Commands may be refused if the state
 * has changed since.
 */
export function planGroups(input: PlannerInput): Command[] {
    return new GroupPlan(input).assemble();
}

interface DomainPool {
    name: string;
    free: VmRecord[];
}

/** State of one planning run. */
class GroupPlan {
    private readonly commands: Command[] = [];
    private readonly services: ServiceDefinition[];
    private readonly groups: ReplicaGroup[];
    private readonly vms = new Map<string, VmRecord>();
    private readonly domains = new Map<string, DomainPool>();
    /** Number of groups that may start to load. */
    private freeLoadSlots: number;
    /** A service lacks a declared group, and there are no VMs for it. */
    private hasUnmetService = false;

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
        this.freeLoadSlots = (input.options?.maxLoadingGroups ?? DEFAULT_MAX_LOADING_GROUPS) - loading;
    }

    assemble(): Command[] {
        this.drainUndeclared();
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

    /** Drains groups of services that are no longer declared. */
    private drainUndeclared(): void {
        for (const group of this.groups) {
            const isDeclared = this.services.some(service => isGroupOf(group, service));
            if (!isDeclared && (group.state === GroupState.Serving || group.state === GroupState.Loading)) {
                this.drainGroup(group, "its service is not declared");
            }
        }
    }

    /** Lists services by the missing share of their declared capacity times their downtime weight, largest first. */
    private listByNeed(): ServiceDefinition[] {
        const computeNeed = (service: ServiceDefinition) =>
            service.objective.groupDowntime
            * (1 - this.listActive(service).length / Math.max(1, service.capacity.groups));
        return [...this.services].sort((left, right) => computeNeed(right) - computeNeed(left));
    }

    /** Lists groups of the service that serve or load. */
    private listActive(service: ServiceDefinition): ReplicaGroup[] {
        return this.groups.filter(group =>
            isGroupOf(group, service) && (group.state === GroupState.Serving || group.state === GroupState.Loading)
        );
    }

    private planService(service: ServiceDefinition): void {
        const active = this.listActive(service);
        const obsolete = active.filter(group => this.mustReplace(group, service));
        const current = active.filter(group => !obsolete.includes(group));
        let missing = service.capacity.groups - current.length;
        while (missing > 0 && this.formGroup(service, 0)) {
            missing--;
        }
        const serving = current.filter(group => group.state === GroupState.Serving).length;
        if (missing > 0 && this.freeLoadSlots > 0) {
            this.hasUnmetService = true;
        }
        this.drainObsolete(service, obsolete, serving, missing);
        this.drainExcess(service, current);
    }

    /** Drains obsolete groups once enough others serve, or earlier if there is no room for a replacement. */
    private drainObsolete(
        service: ServiceDefinition,
        obsolete: ReplicaGroup[],
        serving: number,
        missing: number,
    ): void {
        let servingCount = serving + obsolete.filter(group => group.state === GroupState.Serving).length;
        let forcedLeft = Math.max(0, Math.min(1, missing));
        const isReplacementLoading = this.listActive(service).some(group =>
            group.state === GroupState.Loading && !obsolete.includes(group)
        );
        for (const group of obsolete) {
            const isCovered = servingCount > service.capacity.groups;
            const isForced = forcedLeft > 0 && !isReplacementLoading && this.freeLoadSlots > 0;
            const isDrainRequested = this.hasDrainingVm(group) && missing > 0 && !isReplacementLoading;
            if (
                group.state === GroupState.Loading || isCovered || isForced || isDrainRequested
                || this.hasLeavingVm(group)
            ) {
                this.drainGroup(
                    group,
                    this.hasDrainingVm(group) ? "a member is being drained" : "a newer service version is declared",
                );
                servingCount--;
                forcedLeft--;
            }
        }
    }

    /** Drains groups above the declared capacity unless the objective uses surplus VMs. */
    private drainExcess(service: ServiceDefinition, current: ReplicaGroup[]): void {
        if (this.getObjective(service).canUseSurplus(service)) {
            return;
        }
        for (const group of current.slice(service.capacity.groups)) {
            this.drainGroup(group, "the declared capacity is lower");
        }
    }

    /** If a service finds no VMs, drains one group above a declared capacity, unless a drain is in progress. */
    private drainSurplus(): void {
        const isDrainInProgress = this.groups.some(group => group.state === GroupState.Draining);
        if (!this.hasUnmetService || isDrainInProgress) {
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

    /** Forms groups above the declared capacity, but only if no other service lacks a declared group. */
    private planSurplus(service: ServiceDefinition): void {
        const isOtherIncomplete = this.services.some(other =>
            this.listActive(other).length < other.capacity.groups && other.service !== service.service
        );
        if (isOtherIncomplete) {
            return;
        }
        while (this.formGroup(service, this.getObjective(service).countSpares(service))) {
            // Each iteration forms one group.
        }
    }

    private mustReplace(group: ReplicaGroup, service: ServiceDefinition): boolean {
        return this.hasChangedLoad(group, service) || this.hasDrainingVm(group);
    }

    /** Whether the declared models, adapters or size have changed. Changes of limits or accounts need no new load. */
    private hasChangedLoad(group: ReplicaGroup, service: ServiceDefinition): boolean {
        return group.vms.length !== service.replicaGroup.vms
            || JSON.stringify(group.models) !== JSON.stringify(listLoads(service));
    }

    private hasDrainingVm(group: ReplicaGroup): boolean {
        return group.vms.some(id => {
            const vm = this.vms.get(id);
            return vm !== undefined && isVmDraining(this.input.configuration, vm);
        });
    }

    /** Whether a member's agent is stopping: it waits for the group to drain and must not wait for a replacement. */
    private hasLeavingVm(group: ReplicaGroup): boolean {
        return group.vms.some(id => this.vms.get(id)?.attributes.isLeaving === true);
    }

    private drainGroup(group: ReplicaGroup, reason: string): void {
        this.commands.push({ kind: "drainGroup", groupId: group.id, reason, at: this.input.at });
    }

    /** Forms one group in the domain of lowest cost that keeps `spares` VMs free; returns whether there was one. */
    private formGroup(service: ServiceDefinition, spares: number): boolean {
        if (this.freeLoadSlots <= 0) {
            return false;
        }
        const objective = this.getObjective(service);
        const warmKey = formatServiceVersion(service.institution, service.service, service.version);
        let best: { pool: DomainPool; members: VmRecord[]; cost: number } | undefined;
        for (const pool of this.domains.values()) {
            const usable = pool.free.filter(vm => vm.attributes.accelerators >= service.replicaGroup.acceleratorsPerVm);
            if (usable.length < service.replicaGroup.vms + spares) {
                continue;
            }
            usable.sort((left, right) => Number(right.warmFor === warmKey) - Number(left.warmFor === warmKey));
            const members = usable.slice(0, service.replicaGroup.vms);
            const cost = objective.computeCost(service, members, usable.length, warmKey);
            if (best === undefined || cost < best.cost) {
                best = { pool, members, cost };
            }
        }
        if (best === undefined) {
            return false;
        }
        const chosen = best.members;
        best.pool.free = best.pool.free.filter(vm => !chosen.includes(vm));
        this.freeLoadSlots--;
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
