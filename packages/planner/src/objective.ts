import type { ServiceDefinition, VmRecord } from "@kumquathall/types";

/** What a service's declared weights ask of placement. */
export abstract class Objective {
    /** VMs of each fabric domain that stay free, so that a lost VM is replaced at once. */
    abstract countSpares(service: ServiceDefinition): number;
    /** Whether free VMs beyond the spares form groups above the declared capacity. */
    abstract canUseSurplus(service: ServiceDefinition): boolean;
    /** Cost of forming a group from these VMs; the cheapest fabric domain is taken. */
    abstract computeCost(
        service: ServiceDefinition,
        members: VmRecord[],
        freeInDomain: number,
        warmth: string,
    ): number;
}

/** Cost of loading one cold VM relative to leaving one VM of a domain without partners. */
const COLD_LOAD_COST = 10;

/**
 * Keeps spares, prefers members that hold the weights already, and lets what is left over serve as standing reserve:
 * a group above the declared capacity takes over at once, where a spare has to load first.
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
        warmth: string,
    ): number {
        const coldMembers = countCold(members, warmth);
        // A domain with VMs to spare can repair the group again after a second loss.
        const sparesLeft = Math.min(freeInDomain - members.length, service.replicaGroup.vms);
        return coldMembers * COLD_LOAD_COST - sparesLeft;
    }
}

/** Uses every VM: fills domains tightly and forms groups above the declared capacity from what is left. */
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
        warmth: string,
    ): number {
        const coldMembers = countCold(members, warmth);
        const leftover = (freeInDomain - members.length) % service.replicaGroup.vms;
        return leftover * COLD_LOAD_COST + coldMembers;
    }
}

function countCold(members: VmRecord[], warmth: string): number {
    return members.filter(vm => vm.warmFor !== warmth).length;
}

/** Chooses the objective that the service's weights favour. */
export function selectObjective(service: ServiceDefinition): Objective {
    const { groupDowntime, strandedAccelerators } = service.objective;
    return groupDowntime >= strandedAccelerators ? new DowntimeObjective() : new StrandedObjective();
}
