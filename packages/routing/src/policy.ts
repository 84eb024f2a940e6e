import { KumquathallError } from "@kumquathall/errors";

/** What a policy may know of a request. */
export interface RoutingRequest {
    /** From {@link computePrefixHashes}. */
    prefixHashes: readonly string[];
}

/** What a policy may know of one endpoint: a replica group or a plain service's VM. */
export interface Candidate {
    id: string;
    /** Requests running and queued by the endpoint's own, late report. */
    reportedLoad: number;
    /** Age of that report, in milliseconds. */
    reportAgeMs: number;
    /** Requests that this entry has sent there and that the report cannot include yet. */
    sentSinceReport: number;
    /** Requests of this entry in flight there. */
    inFlight: number;
    /** Number of leading prefix blocks believed to be in its cache. */
    countCachedBlocks: (prefixHashes: readonly string[]) => number;
    /** Between 0 and 1: below 1 for stragglers, and for endpoints that have just come back. */
    weight: number;
    isSameDataCentre: boolean;
}

/** Chooses an endpoint. Policies hold no state of the system beyond what helps their next choice. */
export abstract class RoutingPolicy {
    abstract readonly name: string;

    /** Returns one of the candidates, or `undefined` when there is none. */
    abstract chooseCandidate(request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined;
}

/** Options that every policy takes. */
export interface RoutingPolicyOptions {
    /** Source of random numbers in [0, 1). */
    random?: () => number;
}

type PolicyFactory = (options: Required<RoutingPolicyOptions>) => RoutingPolicy;

const factories = new Map<string, PolicyFactory>();

/** Makes a policy available by name. */
export function registerRoutingPolicy(name: string, factory: PolicyFactory): void {
    factories.set(name, factory);
}

/** Names of all registered policies. */
export function listRoutingPolicies(): string[] {
    return [...factories.keys()].sort();
}

/** Creates a registered policy. Throws when the name is unknown. */
export function createRoutingPolicy(name: string, options: RoutingPolicyOptions = {}): RoutingPolicy {
    const factory = factories.get(name);
    if (factory === undefined) {
        throw new KumquathallError(`no routing policy "${name}"; there are: ${listRoutingPolicies().join(", ")}`);
    }
    return factory({ random: options.random ?? Math.random });
}
