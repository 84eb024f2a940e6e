import {
    type ConfigurationValue,
    DrainKind,
    type DrainRecord,
    type QuarantineSubjectValue,
    type ReplicaGroup,
    type ServiceDefinition,
    type SuspectRecord,
    type VmRecord,
} from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";

type Configuration = VersionedMap<ConfigurationValue>;

export function formatServiceKey(institution: string, service: string): string {
    return `service/${institution}/${service}`;
}

export function formatGroupKey(groupId: string): string {
    return `group/${groupId}`;
}

export function formatVmKey(vm: string): string {
    return `vm/${vm}`;
}

export function formatDrainKey(kind: string, name: string): string {
    return `drain/${kind}/${name}`;
}

/** Keys of the evacuations of data centres, which are drains, begin with this; gateways read them. */
export const EVACUATION_KEY_PREFIX = formatDrainKey(DrainKind.DataCentre, "");

/** Whether an operator has ordered the evacuation of a data centre and not withdrawn it. */
export function isDataCentreEvacuated(configuration: Configuration, dataCentre: string): boolean {
    return configuration.entries.get(formatDrainKey(DrainKind.DataCentre, dataCentre))?.value !== undefined;
}

/** Lists the names of the evacuated data centres in ascending order. */
export function listEvacuatedDataCentres(configuration: Configuration): string[] {
    return listDrains(configuration).filter(drain => drain.kind === DrainKind.DataCentre)
        .map(drain => drain.name)
        .sort();
}

export function formatSuspectKey(fingerprint: string): string {
    return `suspect/${fingerprint}`;
}

/** Keys of what is quarantined at gateways begin with this; gateways read them with the traffic configuration. */
export const QUARANTINE_KEY_PREFIX = "trafficQuarantine/";

export function formatQuarantineKey(subject: QuarantineSubjectValue, id: string): string {
    return `${QUARANTINE_KEY_PREFIX}${subject}/${id}`;
}

/** Formats a service version for `warmFor`: the version whose weights a VM's engine keeps in memory after a release. */
export function formatServiceVersion(institution: string, service: string, version: number): string {
    return `${institution}/${service}@${version}`;
}

/** Key of the traffic configuration in force; the keys of its routes and accounts begin with it. */
export const TRAFFIC_KEY = "traffic";

/** Version, limits and services of the traffic configuration in force, or `undefined` before the first. */
export function getTraffic(
    configuration: Configuration,
): Extract<ConfigurationValue, { kind: "traffic" }> | undefined {
    const value = configuration.entries.get(TRAFFIC_KEY)?.value;
    return value?.kind === "traffic" ? value : undefined;
}

export function getService(
    configuration: Configuration,
    institution: string,
    service: string,
): ServiceDefinition | undefined {
    const value = configuration.entries.get(formatServiceKey(institution, service))?.value;
    return value?.kind === "service" ? value.service : undefined;
}

export function getGroup(configuration: Configuration, groupId: string): ReplicaGroup | undefined {
    const value = configuration.entries.get(formatGroupKey(groupId))?.value;
    return value?.kind === "group" ? value.group : undefined;
}

export function getVm(configuration: Configuration, vm: string): VmRecord | undefined {
    const value = configuration.entries.get(formatVmKey(vm))?.value;
    return value?.kind === "vm" ? value.vm : undefined;
}

export function listServices(configuration: Configuration): ServiceDefinition[] {
    return listValues(configuration).flatMap(value => value.kind === "service" ? [value.service] : []);
}

export function listGroups(configuration: Configuration): ReplicaGroup[] {
    return listValues(configuration).flatMap(value => value.kind === "group" ? [value.group] : []);
}

export function listVms(configuration: Configuration): VmRecord[] {
    return listValues(configuration).flatMap(value => value.kind === "vm" ? [value.vm] : []);
}

export function listDrains(configuration: Configuration): DrainRecord[] {
    return listValues(configuration).flatMap(value => value.kind === "drain" ? [value.drain] : []);
}

export function listSuspects(configuration: Configuration): SuspectRecord[] {
    return listValues(configuration).flatMap(value => value.kind === "suspect" ? [value.suspect] : []);
}

/** Whether the VM is leaving, or a drain of it, its fabric domain or its data centre is in force. */
export function isVmDraining(configuration: Configuration, vm: VmRecord): boolean {
    if (vm.attributes.isLeaving === true) {
        return true;
    }
    const { fabricDomain, dataCentre } = vm.attributes;
    const keys = [
        formatDrainKey("vm", vm.id),
        formatDrainKey("domain", fabricDomain),
        formatDrainKey("data-centre", dataCentre),
    ];
    return keys.some(key => configuration.entries.get(key)?.value !== undefined);
}

function listValues(configuration: Configuration): ConfigurationValue[] {
    const values: ConfigurationValue[] = [];
    for (const entry of configuration.entries.values()) {
        if (entry.value !== undefined) {
            values.push(entry.value);
        }
    }
    return values;
}
