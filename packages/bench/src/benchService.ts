import { DEMO_KEYS } from "@kumquathall/local-cluster";
import { createHash } from "node:crypto";

/** Size and declared capacity of the service that a bench publishes. */
export interface BenchServiceOptions {
    groups: number;
    vmsPerGroup: number;
    concurrentRequests: number;
    requestsPerSecond: number;
}

/** Builds a service definition with the model "m" and one account, which has the demonstration key. */
export function buildBenchService(options: BenchServiceOptions): object {
    const { groups, vmsPerGroup, concurrentRequests, requestsPerSecond } = options;
    return {
        institution: "cantora",
        service: "bench",
        version: 1,
        kind: "model",
        models: [{ name: "m", version: "1" }],
        replicaGroup: { vms: vmsPerGroup, acceleratorsPerVm: 2 },
        capacity: { groups, concurrentRequests, requestsPerSecond },
        accounts: [{ name: "bench", keyDigest: createHash("sha256").update(DEMO_KEYS.cantora).digest("hex") }],
    };
}
