import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineModelProfile } from "@kumquathall/types";
import type { Allocation } from "./allocation.js";
import { isStaged, isStraggler, isWarm, mustLoad } from "./engineState.js";
import type { OrderPlanInput } from "./orderPlanInput.js";

export interface GroupChooserOptions {
    input: OrderPlanInput;
    /** Models that groups can be formed of, as the profile lists them, and by descending group size. */
    listedModels: EngineModelProfile[];
    models: EngineModelProfile[];
    allocation: Allocation;
    /** Endpoints that may be group members, by fabric domain, and those of them that belong to no active group. */
    usable: ReadonlyMap<string, EndpointView[]>;
    free: ReadonlyMap<string, EndpointView[]>;
}

/** A group to form of free endpoints. */
export interface GroupChoice {
    model: EngineModelProfile;
    domain: string;
    members: EndpointView[];
    /** Members that must load the model from the weight store. */
    cold: EndpointView[];
}

/** Fraction of a fabric domain's endpoints that are kept as standbys when groups are first formed. */
const STANDBY_FRACTION = 1 / 12;

/** How soon an endpoint can join a group of a model, fastest first. */
const JoinRank = { Warm: 0, Staged: 1, Staging: 2, Empty: 3, HoldsAnother: 4 } as const;

/** Chooses which group is formed next of free endpoints. */
export class GroupChooser {
    constructor(private readonly options: GroupChooserOptions) {}

    /** Chooses the most underallocated model that can form a group, and the domain with the fewest loads. */
    choose(canLoad: boolean): GroupChoice | undefined {
        const models = [...this.options.listedModels].sort((left, right) =>
            this.options.allocation.computeAccepting(left) - this.options.allocation.computeAccepting(right)
        );
        for (const model of models) {
            const choices = [...this.options.free.keys()].flatMap(domain => {
                const reserved = this.listReserved(domain, model);
                const candidates = this.listCandidates(domain, model).filter(view => !reserved.includes(view));
                const standbyCount = this.options.input.isBeforeTraffic ? this.countReservedStandbys(domain) : 0;
                if (candidates.length < model.groupSize + standbyCount) {
                    return [];
                }
                const members = candidates.slice(0, model.groupSize);
                const cold = members.filter(view => mustLoad(view, model));
                if (cold.length > 0 && !canLoad) {
                    return [];
                }
                return [{ model, domain, members, cold, leftover: candidates.length - members.length }];
            });
            // Best fit: other domains keep enough free endpoints for larger groups.
            choices.sort((left, right) => left.cold.length - right.cold.length || left.leftover - right.leftover);
            if (choices.length > 0) {
                return choices[0];
            }
        }
        return undefined;
    }

    /** Lists free endpoints of a domain that can be members: stragglers last, otherwise the fastest to join first. */
    private listCandidates(domain: string, model: EngineModelProfile): EndpointView[] {
        return (this.options.free.get(domain) ?? [])
            .filter(view => !this.options.input.isOrderPending(view) && !this.mustAwaitOtherLoad(view, model))
            .sort((left, right) =>
                Number(isStraggler(left)) - Number(isStraggler(right))
                || this.computeJoinRank(left, model) - this.computeJoinRank(right, model)
            );
    }

    /**
     * Lists endpoints that a model with its full share of the fleet must not use: those that are ready for a model
     * with a lower allocation and make up more than half of a group of it, so that a new endpoint can complete that
     * group.
     */
    private listReserved(domain: string, model: EngineModelProfile): EndpointView[] {
        if (
            this.options.input.isBeforeTraffic
            || this.options.allocation.getCount(model.name) < this.computeTargetCount(model)
        ) {
            return [];
        }
        const free = this.options.free.get(domain) ?? [];
        return this.options.models.filter(other =>
            this.options.allocation.computeAccepting(other) < this.options.allocation.computeAccepting(model)
        ).flatMap(
            other => {
                const ready = free.filter(view =>
                    !mustLoad(view, other) || this.options.input.getStagingModel(view) === other.name
                );
                return ready.length * 2 > other.groupSize ? ready : [];
            },
        );
    }

    /** Number of groups that a model's share of the usable endpoints allows. */
    private computeTargetCount(model: EngineModelProfile): number {
        const count = [...this.options.usable.values()].reduce((sum, views) => sum + views.length, 0);
        return Math.floor(count * model.share / model.groupSize);
    }

    /** Whether the whole group would wait for this member, because its host is still loading another model. */
    mustAwaitOtherLoad(view: EndpointView, model: EngineModelProfile): boolean {
        const staging = this.options.input.getStagingModel(view);
        return staging !== undefined && staging !== model.name && !isWarm(view, model);
    }

    private computeJoinRank(view: EndpointView, model: EngineModelProfile): number {
        if (isWarm(view, model)) {
            return JoinRank.Warm;
        }
        if (isStaged(view, model)) {
            return JoinRank.Staged;
        }
        if (this.options.input.getStagingModel(view) === model.name) {
            return JoinRank.Staging;
        }
        return this.options.models.every(other => mustLoad(view, other)) ? JoinRank.Empty : JoinRank.HoldsAnother;
    }

    /** Number of endpoints of a domain that are kept as standbys when groups are first formed. */
    private countReservedStandbys(domain: string): number {
        return Math.ceil((this.options.usable.get(domain)?.length ?? 0) * STANDBY_FRACTION);
    }
}
