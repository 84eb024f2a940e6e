import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineModelProfile } from "@kumquathall/types";
import { isStaged, isWarm } from "./engineState.js";
import { parseGroupName } from "./groupName.js";
import type { EngineGroup } from "./listGroups.js";

export interface StagedCopiesInput {
    groups: EngineGroup[];
    /** Models by descending group size. */
    models: EngineModelProfile[];
    /** Endpoints that may be group members, by fabric domain, and those of them that belong to no active group. */
    usable: ReadonlyMap<string, EndpointView[]>;
    free: ReadonlyMap<string, EndpointView[]>;
    /** Name of the model that an endpoint was ordered to stage and has not staged yet. */
    getStagingModel: (view: EndpointView) => string | undefined;
    /** Orders a load into the host's memory if the budget admits it; returns whether it did. */
    stage: (view: EndpointView, model: EngineModelProfile) => boolean;
}

/**
 * Stages models on hosts whose engines do not serve them, so that members can change groups without a load from
 * the weight store. The hosts of a domain always keep enough staged copies for all its groups to be formed again
 * after a restart of every engine.
 */
export function planStagedCopies(input: StagedCopiesInput): void {
    const { models, usable, free, stage, getStagingModel } = input;
    for (const [domain, views] of usable) {
        const counts = new Map(models.map(model => [model.name, countCopies(input, views, model)]));
        const needs = new Map(models.map(model => [model.name, countMembers(input, domain, model)]));
        const hasSurplus = (name: string) => (counts.get(name) ?? 0) > (needs.get(name) ?? 0);
        // Standbys come first because they are the next to join a group.
        const standbys = free.get(domain) ?? [];
        const isStandbyWorkDone = standbys.every(view => {
            const warm = models.find(model => isWarm(view, model));
            return warm !== undefined && (!isStaged(view, warm) || !hasSurplus(warm.name));
        });
        for (const view of isStandbyWorkDone ? listByGroupSize(views) : standbys) {
            const warm = models.find(model => isWarm(view, model));
            const other = models.find(model => model !== warm);
            if (warm === undefined || other === undefined || !isStaged(view, warm)) {
                continue;
            }
            if (getStagingModel(view) === undefined && hasSurplus(warm.name) && stage(view, other)) {
                counts.set(warm.name, (counts.get(warm.name) ?? 0) - 1);
                counts.set(other.name, (counts.get(other.name) ?? 0) + 1);
            }
        }
    }
}

/** Number of hosts that hold a model in memory; a host that is loading counts for the model that it loads. */
function countCopies(
    { getStagingModel }: StagedCopiesInput,
    views: EndpointView[],
    model: EngineModelProfile,
): number {
    return views.filter(view => {
        const staging = getStagingModel(view);
        return staging === undefined ? isStaged(view, model) : staging === model.name;
    }).length;
}

/** Number of members of a model's complete groups in a domain. */
function countMembers({ groups }: StagedCopiesInput, domain: string, model: EngineModelProfile): number {
    return groups.filter(group =>
        !group.isStandby && group.isComplete && group.model === model.name
        && group.head?.engine?.fabricDomain === domain
    ).length * model.groupSize;
}

/** Sorts endpoints by the size of their group: standbys first, then members of small groups. */
function listByGroupSize(views: EndpointView[]): EndpointView[] {
    const getSize = (view: EndpointView) => parseGroupName(view.engine?.group?.name ?? "")?.size ?? 0;
    return [...views].sort((left, right) => getSize(left) - getSize(right));
}
