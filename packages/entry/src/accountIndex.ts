import { listServices } from "@kumquathall/control-state";
import type { AccountSpec, ConfigurationValue, ServiceDefinition } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";
import { hash, timingSafeEqual } from "node:crypto";

/** A client account and the service that it belongs to. */
export interface AccountMatch {
    account: AccountSpec;
    service: ServiceDefinition;
}

/** Finds client accounts by key digest. Rebuilt when the configuration revision changes. */
export class AccountIndex {
    private revision = -1;
    private readonly byDigest = new Map<string, AccountMatch[]>();

    constructor(private readonly getConfiguration: () => VersionedMap<ConfigurationValue>) {}

    /** Returns each account that has this key, with its service. Empty if the key is unknown. */
    findMatches(key: string): AccountMatch[] {
        this.refresh();
        const digest = computeKeyDigest(key);
        const matches = this.byDigest.get(digest) ?? [];
        return matches.filter(match => isSameDigest(match.account.keyDigest, digest));
    }

    private refresh(): void {
        const configuration = this.getConfiguration();
        if (this.revision === configuration.revision) {
            return;
        }
        this.revision = configuration.revision;
        this.byDigest.clear();
        for (const service of listServices(configuration)) {
            for (const account of service.accounts) {
                const matches = this.byDigest.get(account.keyDigest) ?? [];
                matches.push({ account, service });
                this.byDigest.set(account.keyDigest, matches);
            }
        }
    }
}

/** Returns the SHA-256 digest of a key in hexadecimal. */
export function computeKeyDigest(key: string): string {
    return hash("sha256", key, "hex");
}

/** Compares two hexadecimal digests in constant time. */
export function isSameDigest(left: string, right: string): boolean {
    return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
