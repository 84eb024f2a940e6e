import { GroupState, type ReplicaGroup, type ServiceDefinition, type VmRecord, VmState } from "@kumquathall/types";
import { listGroups, listServices, listVms } from "./lookup.js";
import type { ControlState, MetricTotals } from "./state.js";

/** Availability metrics of one institution at one moment. */
export interface InstitutionMetrics {
    institution: string;
    /** Declared groups that are not serving. */
    missingGroups: number;
    /** Share of the accelerators outside serving or draining groups, in proportion to those its services declare. */
    strandedAccelerators: number;
}

/** Computes, for each institution, the groups that should serve but do not, and its share of stranded accelerators. */
export function computeInstitutionMetrics(state: ControlState): InstitutionMetrics[] {
    const services = listServices(state.configuration).filter(service => service.kind === "model");
    const groups = listGroups(state.configuration);
    const vms = listVms(state.configuration).filter(vm => vm.attributes.kind === "model");
    const strandedTotal = countStrandedAccelerators(vms, groups);
    const declared = services.map(service =>
        service.capacity.groups * service.replicaGroup.vms * service.replicaGroup.acceleratorsPerVm
    );
    const declaredTotal = declared.reduce((sum, item) => sum + item, 0);
    const institutions = [...new Set(services.map(service => service.institution))].sort();
    return institutions.map(institution => {
        const own = services.filter(service => service.institution === institution);
        const ownDeclared = services.reduce(
            (sum, service, at) => sum + (service.institution === institution ? declared[at] : 0),
            0,
        );
        return {
            institution,
            missingGroups: own.reduce((sum, service) => sum + countMissingGroups(service, groups), 0),
            strandedAccelerators: declaredTotal === 0 ? 0 : strandedTotal * ownDeclared / declaredTotal,
        };
    });
}

/** Adds the time since the last counted command to the totals, weighted by the metrics before the new command. */
export function advanceMetricTotals(state: ControlState, at: string): MetricTotals {
    const now = Date.parse(at);
    const { metricTotals } = state;
    if (!Number.isFinite(now) || now <= metricTotals.lastAt) {
        return metricTotals;
    }
    if (metricTotals.lastAt === 0) {
        return { ...metricTotals, lastAt: now };
    }
    const elapsedMs = now - metricTotals.lastAt;
    let { groupDowntimeMs, strandedAcceleratorMs } = metricTotals;
    for (const item of computeInstitutionMetrics(state)) {
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

function countStrandedAccelerators(vms: VmRecord[], groups: ReplicaGroup[]): number {
    const serving = new Set(
        groups.filter(group => group.state === GroupState.Serving || group.state === GroupState.Draining).map(group =>
            group.id
        ),
    );
    return vms
        .filter(vm => vm.state !== VmState.Assigned || !serving.has(vm.groupId ?? ""))
        .reduce((sum, vm) => sum + vm.attributes.accelerators, 0);
}
