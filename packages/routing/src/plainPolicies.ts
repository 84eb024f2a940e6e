import { estimateLoad } from "./load.js";
import { type Candidate, registerRoutingPolicy, RoutingPolicy, type RoutingRequest } from "./policy.js";

/** Baseline: a random endpoint. */
class RandomPolicy extends RoutingPolicy {
    override readonly name = "random";

    constructor(private readonly random: () => number) {
        super();
    }

    override chooseCandidate(_request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        return candidates[Math.floor(this.random() * candidates.length)];
    }
}

/** Baseline: each endpoint in turn. */
class RoundRobinPolicy extends RoutingPolicy {
    override readonly name = "round-robin";
    private next = 0;

    override chooseCandidate(_request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        return candidates[this.next++ % Math.max(1, candidates.length)];
    }
}

/** Baseline: the endpoint with the lowest reported load, without a correction for the report's delay. */
class LeastReportedPolicy extends RoutingPolicy {
    override readonly name = "least-reported";

    override chooseCandidate(_request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        return findLowest(candidates, candidate => candidate.reportedLoad);
    }
}

/** Baseline: the one of two random endpoints with the lower estimated load (power of two choices). */
class TwoChoicesPolicy extends RoutingPolicy {
    override readonly name = "two-choices";

    constructor(private readonly random: () => number) {
        super();
    }

    override chooseCandidate(_request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        const pair = [this.random(), this.random()].map(value => candidates[Math.floor(value * candidates.length)]);
        return candidates.length === 0 ? undefined : findLowest(pair, estimateLoad);
    }
}

/** Baseline: the endpoint with the longest cached prefix; load only breaks ties. */
class PrefixOnlyPolicy extends RoutingPolicy {
    override readonly name = "prefix-only";

    override chooseCandidate(request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        return findLowest(
            candidates,
            candidate => estimateLoad(candidate) / 1000 - candidate.countCachedBlocks(request.prefixHashes),
        );
    }
}

function findLowest(
    candidates: readonly Candidate[],
    computeCost: (candidate: Candidate) => number,
): Candidate | undefined {
    let best: Candidate | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const cost = computeCost(candidate);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

registerRoutingPolicy("random", options => new RandomPolicy(options.random));
registerRoutingPolicy("round-robin", () => new RoundRobinPolicy());
registerRoutingPolicy("least-reported", () => new LeastReportedPolicy());
registerRoutingPolicy("two-choices", options => new TwoChoicesPolicy(options.random));
registerRoutingPolicy("prefix-only", () => new PrefixOnlyPolicy());
