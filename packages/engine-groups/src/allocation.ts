import type { EngineModelProfile } from "@kumquathall/types";

/** Number of replica groups that serve or are being formed, by model, in relation to the models' shares. */
export class Allocation {
    private readonly counts = new Map<string, number>();
    /** The same, where a group whose head limits its requests counts only for the part of its work that it accepts. */
    private readonly capacities = new Map<string, number>();

    addGroup(model: string, acceptedPart: number): void {
        this.counts.set(model, this.getCount(model) + 1);
        this.capacities.set(model, (this.capacities.get(model) ?? 0) + acceptedPart);
    }

    getCount(model: string): number {
        return this.counts.get(model) ?? 0;
    }

    /**
     * Endpoints in a model's groups divided by its share of the fleet, if it had `change` groups more: lowest for the most
     * underallocated model.
     */
    compute(model: EngineModelProfile, change = 0): number {
        return (this.getCount(model.name) + change) * model.groupSize / model.share;
    }

    /**
     * The allocation that accepts requests. It decides what free endpoints are used for. No serving group is dissolved
     * for it, since limits end by themselves.
     */
    computeAccepting(model: EngineModelProfile): number {
        return (this.capacities.get(model.name) ?? 0) * model.groupSize / model.share;
    }
}
