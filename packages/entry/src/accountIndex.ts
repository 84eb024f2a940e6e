import { listServices } from "@kumquathall/control-state";
import type { AccountSpec, ConfigurationValue, ServiceDefinition } from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";
import { hash, timingSafeEqual } from "node:crypto";

/** A caller's account in one service. */
export interface AccountMatch {
    account: AccountSpec;
    service: ServiceDefinition;
}

/** Finds accounts by key digest. Built once for each revision of the configuration. */
export class AccountIndex {
    private revision = -1;
    private readonly byDigest = new Map<string, AccountMatch[]>();

    constructor(private readonly getConfiguration: () => VersionedMap<ConfigurationValue>) {}

    /** Services that the holder of a key may use; empty when no account has it. */
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
                const known = this.byDigest.get(account.keyDigest) ?? [];
                known.push({ account, service });
                this.byDigest.set(account.keyDigest, known);
            }
        }
    }
}

/** Hexadecimal SHA-256 of a key. */
export function computeKeyDigest(key: string): string {
    return hash("sha256", key, "hex");
}

/** Compares two hexadecimal digests in constant time. */
export function isSameDigest(left: string, right: string): boolean {
    return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}
