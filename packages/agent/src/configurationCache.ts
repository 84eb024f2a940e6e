import { getGroup, getService, getVm } from "@kumquathall/control-state";
import type {
    ConfigurationAnswer,
    ConfigurationValue,
    ReplicaGroup,
    ServiceDefinition,
    VmRecord,
} from "@kumquathall/types";
import { applyUpdate, createVersionedMap, type VersionedMap } from "@kumquathall/versioned-map";

/** Caches the part of the configuration that concerns this VM, and tracks its lease. */
export class ConfigurationCache {
    private map: VersionedMap<ConfigurationValue> = createVersionedMap();
    private leaseUntil = Number.NEGATIVE_INFINITY;

    constructor(private readonly vm: string) {}

    getRevision(): number {
        return this.map.revision;
    }

    /** Applies an entry's answer to a call sent at `sentAt` (monotonic). Returns whether the configuration changed. */
    applyAnswer(answer: ConfigurationAnswer, sentAt: number): boolean {
        const previous = this.map;
        this.map = applyUpdate(this.map, answer.update);
        if (answer.leaseMs > 0) {
            this.leaseUntil = Math.max(this.leaseUntil, sentAt + answer.leaseMs);
        }
        return previous !== this.map;
    }

    /** Whether the configuration lease is valid, that is, the cached configuration may be acted on. */
    hasLease(now: number): boolean {
        return now < this.leaseUntil;
    }

    /** The record of this VM. */
    getVm(): VmRecord | undefined {
        return getVm(this.map, this.vm);
    }

    /** The group that this VM is assigned to. */
    getGroup(): ReplicaGroup | undefined {
        const groupId = this.getVm()?.groupId;
        return groupId === undefined ? undefined : getGroup(this.map, groupId);
    }

    getService(institution: string, service: string): ServiceDefinition | undefined {
        return getService(this.map, institution, service);
    }

    /** Whether a request is quarantined. */
    isQuarantined(fingerprint: string): boolean {
        const value = this.map.entries.get(`suspect/${fingerprint}`)?.value;
        return value?.kind === "suspect" && value.suspect.quarantined;
    }

    /** Address of another VM's agent, if the cache has the VM's record. */
    getAddress(vm: string): string | undefined {
        return getVm(this.map, vm)?.attributes.address;
    }
}
