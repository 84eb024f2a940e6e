import { estimateLoad } from "./load.js";
import { type Candidate, registerRoutingPolicy, RoutingPolicy, type RoutingRequest } from "./policy.js";

export interface PrefixAffinityOptions {
    random?: () => number;
    /** Time to compute one uncached block of the prompt, in milliseconds. */
    blockCostMs?: number;
    /** Delay of the first token per request ahead, in milliseconds. */
    loadCostMs?: number;
    /** Added cost of an endpoint in another data centre, in milliseconds. */
    remoteCostMs?: number;
}

const DEFAULT_BLOCK_COST_MS = 12;
const DEFAULT_LOAD_COST_MS = 8;
const DEFAULT_REMOTE_COST_MS = 2;

/**
 * Chooses the endpoint with the lowest expected time to the first token, computed from estimated load and uncached
 * blocks, divided by the endpoint's weight, plus the cost of another data centre.
 */
export class PrefixAffinityPolicy extends RoutingPolicy {
    override readonly name = "prefix-affinity";
    private readonly random: () => number;
    private readonly blockCostMs: number;
    private readonly loadCostMs: number;
    private readonly remoteCostMs: number;

    constructor(options: PrefixAffinityOptions = {}) {
        super();
        this.random = options.random ?? Math.random;
        this.blockCostMs = options.blockCostMs ?? DEFAULT_BLOCK_COST_MS;
        this.loadCostMs = options.loadCostMs ?? DEFAULT_LOAD_COST_MS;
        this.remoteCostMs = options.remoteCostMs ?? DEFAULT_REMOTE_COST_MS;
    }

    override chooseCandidate(request: RoutingRequest, candidates: readonly Candidate[]): Candidate | undefined {
        let best: Candidate | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        // A random start breaks ties, so that entries with the same view do not all choose the same endpoint.
        const start = Math.floor(this.random() * candidates.length);
        for (let step = 0; step < candidates.length; step++) {
            const candidate = candidates[(start + step) % candidates.length];
            const cost = this.computeCost(request, candidate);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    private computeCost(request: RoutingRequest, candidate: Candidate): number {
        const blocks = request.prefixHashes.length;
        const missing = blocks === 0 ? 0 : blocks - candidate.countCachedBlocks(request.prefixHashes);
        const waitMs = (estimateLoad(candidate) + 1) * this.loadCostMs + missing * this.blockCostMs;
        const remoteMs = candidate.isSameDataCentre ? 0 : this.remoteCostMs;
        return waitMs / Math.max(candidate.weight, 0.01) + remoteMs;
    }
}

registerRoutingPolicy("prefix-affinity", options => new PrefixAffinityPolicy({ random: options.random }));
