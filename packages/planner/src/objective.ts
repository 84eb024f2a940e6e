import type { ServiceDefinition, VmRecord } from "@kumquathall/types";

/** Placement strategy that follows from the weights a service declares. */
export abstract class Objective {
    /** Number of VMs per fabric domain that surplus groups leave free, so that a lost VM can be replaced at once. */
    abstract countSpares(service: ServiceDefinition): number;
    /** Whether free VMs beyond the spares form groups above the declared capacity. */
    abstract canUseSurplus(service: ServiceDefinition): boolean;
    /**
     * Cost of forming a group from these VMs; the group is placed in the fabric domain with the lowest cost.
     * `freeInDomain` counts the usable free VMs including the members. VMs whose `warmFor` is `warmKey` already
     * hold the weights.
     */
    abstract computeCost(
        service: ServiceDefinition,
        members: VmRecord[],
        freeInDomain: number,
        warmKey: string,
    ): number;
}

/** Weight of the main cost of an objective (cold VMs or leftover VMs) relative to its secondary cost. */
const PRIMARY_COST_WEIGHT = 10;

/**
 * Minimizes group downtime: keeps spares, prefers VMs that already hold the weights, and forms groups above the
 * declared capacity from surplus VMs. Such a group can take over at once, whereas a spare VM has to load the weights
 * first.
 */
export class DowntimeObjective extends Objective {
    override countSpares(service: ServiceDefinition): number {
        return Math.max(1, Math.round(service.replicaGroup.vms / 16));
    }

    override canUseSurplus(): boolean {
        return true;
    }

    override computeCost(
        service: ServiceDefinition,
        members: VmRecord[],
        freeInDomain: number,
        warmKey: string,
    ): number {
        const coldMembers = countCold(members, warmKey);
        // A domain with more free VMs can repair the group again after a second loss.
        const sparesLeft = Math.min(freeInDomain - members.length, service.replicaGroup.vms);
        return coldMembers * PRIMARY_COST_WEIGHT - sparesLeft;
    }
}

/** Minimizes stranded accelerators: keeps no spares, packs domains tightly and forms surplus groups from the rest. */
export class StrandedObjective extends Objective {
    override countSpares(): number {
        return 0;
    }

    override canUseSurplus(): boolean {
        return true;
    }

    override computeCost(
        service: ServiceDefinition,
        members: VmRecord[],
        freeInDomain: number,
        warmKey: string,
    ): number {
        const coldMembers = countCold(members, warmKey);
        const leftover = (freeInDomain - members.length) % service.replicaGroup.vms;
        return leftover * PRIMARY_COST_WEIGHT + coldMembers;
    }
}

function countCold(members: VmRecord[], warmKey: string): number {
    return members.filter(vm => vm.warmFor !== warmKey).length;
}

/** Selects the objective to which the service gives the larger weight. */
export function selectObjective(service: ServiceDefinition): Objective {
    const { groupDowntime, strandedAccelerators } = service.objective;
    return groupDowntime >= strandedAccelerators ? new DowntimeObjective() : new StrandedObjective();
}
