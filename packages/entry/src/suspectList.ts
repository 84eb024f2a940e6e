import { formatSuspectKey } from "@kumquathall/control-state";
import type { ConfigurationValue } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";

/** Requests that were in flight when engines crashed, by fingerprint, as the configuration has them. */
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
