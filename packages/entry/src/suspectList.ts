import { formatSuspectKey } from "@kumquathall/control-state";
import type { ConfigurationValue } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";

/** Looks up in the configuration which requests, by fingerprint, were in flight when an engine crashed. */
export class SuspectList {
    constructor(private readonly getConfiguration: () => VersionedMap<ConfigurationValue>) {}

    isSuspect(fingerprint: string): boolean {
        return this.getConfiguration().entries.get(formatSuspectKey(fingerprint))?.value !== undefined;
    }

    isQuarantined(fingerprint: string): boolean {
        const value = this.getConfiguration().entries.get(formatSuspectKey(fingerprint))?.value;
        return value?.kind === "suspect" && value.suspect.quarantined;
    }
}
