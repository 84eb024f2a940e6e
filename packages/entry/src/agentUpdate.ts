import { formatGroupKey, formatVmKey, getGroup, getVm } from "@kumquathall/control-state";
import type { ConfigurationChange, ConfigurationUpdate, ConfigurationValue } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";

/**
 * Builds configuration updates for agents, limited to the keys that concern one VM. Scans the whole configuration only
 * once for each revision.
 */
export class AgentUpdateBuilder {
    private revision = -1;
    /** Keys that are sent to every agent: services and suspects. */
    private sharedKeys: string[] = [];

    constructor(private readonly getConfiguration: () => VersionedMap<ConfigurationValue>) {}

    /**
     * Builds the update from revision `since` for a VM's agent: the VM's record, its replica group, the records of the
     * group's other members, and the shared keys.
     */
    build(vm: string, since: number): ConfigurationUpdate {
        const configuration = this.getConfiguration();
        this.refreshSharedKeys(configuration);
        const isSnapshot = since === 0 || since < configuration.safePoint || since > configuration.revision;
        const keys = [...this.sharedKeys, ...this.listOwnKeys(configuration, vm)];
        const changes: ConfigurationChange[] = [];
        for (const key of keys) {
            const entry = configuration.entries.get(key);
            const isIncluded = entry !== undefined && (isSnapshot ? entry.value !== undefined : entry.revision > since);
            if (isIncluded) {
                changes.push({ key, revision: entry.revision, value: entry.value });
            }
        }
        return { since, revision: configuration.revision, isSnapshot, changes };
    }

    private listOwnKeys(configuration: VersionedMap<ConfigurationValue>, vm: string): string[] {
        const groupId = getVm(configuration, vm)?.groupId;
        const group = groupId === undefined ? undefined : getGroup(configuration, groupId);
        const members = group?.vms.filter(member => member !== vm) ?? [];
        return [
            formatVmKey(vm),
            ...(groupId === undefined ? [] : [formatGroupKey(groupId)]),
            ...members.map(formatVmKey),
        ];
    }

    private refreshSharedKeys(configuration: VersionedMap<ConfigurationValue>): void {
        if (this.revision === configuration.revision) {
            return;
        }
        this.revision = configuration.revision;
        this.sharedKeys = [];
        for (const key of configuration.entries.keys()) {
            if (key.startsWith("service/") || key.startsWith("suspect/")) {
                this.sharedKeys.push(key);
            }
        }
    }
}
