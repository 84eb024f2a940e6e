import { KumquathallError } from "@kumquathall/errors";

/** Request properties that policies can use. */
export interface RoutingRequest {
    /** From {@link computePrefixHashes}. */
    prefixHashes: readonly string[];
}

/** Properties of one endpoint that policies can use. The endpoint is a replica group or a VM of a plain service. */
export interface Candidate {
    id: string;
    /** Number of running and queued requests in the endpoint's latest report. */
    reportedLoad: number;
    /** Age of the latest report, in milliseconds. */
    reportAgeMs: number;
    /** Number of requests that this entry has sent to the endpoint and that the report cannot include yet. */
    sentSinceReport: number;
    /** Number of this entry's requests in flight at the endpoint. */
    inFlight: number;
    /** Number of leading prefix blocks that are assumed to be in the endpoint's cache. */
    countCachedBlocks: (prefixHashes: readonly string[]) => number;
    /** Share of normal work, between 0 and 1: below 1 for stragglers and recently added or readmitted endpoints. */
    weight: number;
    isSameDataCentre: boolean;
}

/** Chooses an endpoint. Policies keep no state except what their own next choice needs. */
export abstract class RoutingPolicy {
    abstract readonly name: string;

    /** Returns one of the candidates, or `undefined` if there are none. */
    abstract chooseCandidate(request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined;
}

/** Options of every policy. */
export interface RoutingPolicyOptions {
    /** Source of random numbers in [0, 1). */
    random?: () => number;
}

type PolicyFactory = (options: Required<RoutingPolicyOptions>) => RoutingPolicy;

const factories = new Map<string, PolicyFactory>();

/** Registers a policy under a name. */
export function registerRoutingPolicy(name: string, factory: PolicyFactory): void {
    factories.set(name, factory);
}

/** Lists the names of all registered policies. */
export function listRoutingPolicies(): string[] {
    return [...factories.keys()].sort();
}

/** Creates a registered policy. Throws if no policy has this name. */
export function createRoutingPolicy(name: string, options: RoutingPolicyOptions = {}): RoutingPolicy {
    const factory = factories.get(name);
    if (factory === undefined) {
        throw new KumquathallError(
            `unknown routing policy "${name}"; available policies: ${listRoutingPolicies().join(", ")}`,
        );
    }
    return factory({ random: options.random ?? Math.random });
}
