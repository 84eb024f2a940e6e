import { GroupState, type ReplicaGroup, type ServiceDefinition, type VmRecord, VmState } from "@kumquathall/types";
import { listGroups, listServices, listVms } from "./lookup.js";
import type { ControlState, MeasureState } from "./state.js";

/** The two measures of one institution at this moment. */
export interface InstitutionMeasure {
    institution: string;
    /** Declared groups that are not serving. */
    missingGroups: number;
    /** Accelerators on VMs that are outside every serving group, divided among institutions by what they hold. */
    strandedAccelerators: number;
}

/** Counts, for each institution, groups that should serve and do not, and its share of stranded accelerators. */
export function buildStatusMeasures(state: ControlState): InstitutionMeasure[] {
    const services = listServices(state.configuration).filter(service => service.kind === "model");
    const groups = listGroups(state.configuration);
    const vms = listVms(state.configuration).filter(vm => vm.attributes.kind === "model");
    const strandedTotal = sumStranded(vms, groups);
    const wanted = services.map(service =>
        service.capacity.groups * service.replicaGroup.vms * service.replicaGroup.acceleratorsPerVm
    );
    const wantedTotal = wanted.reduce((sum, item) => sum + item, 0);
    const institutions = [...new Set(services.map(service => service.institution))].sort();
    return institutions.map(institution => {
        const own = services.filter(service => service.institution === institution);
        const share = services.reduce(
            (sum, service, at) => sum + (service.institution === institution ? wanted[at] : 0),
            0,
        );
        return {
            institution,
            missingGroups: own.reduce((sum, service) => sum + countMissingGroups(service, groups), 0),
            strandedAccelerators: wantedTotal === 0 ? 0 : strandedTotal * share / wantedTotal,
        };
    });
}

/** Adds the time since the newest counted change, at the state before the change. */
export function advanceMeasures(state: ControlState, at: string): MeasureState {
    const now = Date.parse(at);
    const { measures } = state;
    if (!Number.isFinite(now) || now <= measures.lastAt) {
        return measures;
    }
    if (measures.lastAt === 0) {
        return { ...measures, lastAt: now };
    }
    const elapsedMs = now - measures.lastAt;
    let { groupDowntimeMs, strandedAcceleratorMs } = measures;
    for (const item of buildStatusMeasures(state)) {
        groupDowntimeMs = groupDowntimeMs.update(item.institution, 0, sum => sum + item.missingGroups * elapsedMs);
        strandedAcceleratorMs = strandedAcceleratorMs.update(
            item.institution,
            0,
            sum => sum + item.strandedAccelerators * elapsedMs,
        );
    }
    return { lastAt: now, groupDowntimeMs, strandedAcceleratorMs };
}

function countMissingGroups(service: ServiceDefinition, groups: ReplicaGroup[]): number {
    const serving = groups.filter(group =>
        group.institution === service.institution && group.service === service.service
        && group.state === GroupState.Serving
    );
    return Math.max(0, service.capacity.groups - serving.length);
}

function sumStranded(vms: VmRecord[], groups: ReplicaGroup[]): number {
    const serving = new Set(
        groups.filter(group => group.state === GroupState.Serving || group.state === GroupState.Draining).map(group =>
            group.id
        ),
    );
    return vms
        .filter(vm => vm.state !== VmState.Assigned || !serving.has(vm.groupId ?? ""))
        .reduce((sum, vm) => sum + vm.attributes.accelerators, 0);
}
