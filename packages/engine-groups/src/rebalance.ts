import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineModelProfile } from "@kumquathall/types";
import type { Allocation } from "./allocation.js";
import type { EngineGroup } from "./listGroups.js";

export interface RebalanceInput {
    /** Complete replica groups that serve and may be dissolved. */
    groups: EngineGroup[];
    /** Models by descending group size. */
    models: EngineModelProfile[];
    allocation: Allocation;
    /** Usable endpoints outside groups, by fabric domain. */
    free: ReadonlyMap<string, EndpointView[]>;
    /** Whether an endpoint can join a group of the model without a load from the weight store. */
    isReady: (view: EndpointView, model: EngineModelProfile) => boolean;
    /** Whether an endpoint's host is loading the model. */
    isStaging: (view: EndpointView, model: EngineModelProfile) => boolean;
}

/** Groups of one model in one fabric domain whose members form groups of another model. */
export interface Rebalance {
    donor: EngineModelProfile;
    recipient: EngineModelProfile;
    domain: string;
    groups: EngineGroup[];
    /** Members of the groups, and free endpoints of the domain, whose hosts neither hold nor load the other model. */
    unready: EndpointView[];
    /** Number of loads that have to start before the groups can be dissolved. */
    loads: number;
    /** Number of loads that have to end before that; 0 if the groups can be dissolved now. */
    unfinishedLoads: number;
    /** Requests that would be interrupted. */
    running: number;
    /** The other model has no group that counts. */
    isFirst: boolean;
}

/**
 * Factor by which dissolving a serving group must raise the lower allocation of the two models, because the group's
 * running requests are interrupted and start again.
 */
const MIN_REBALANCE_GAIN = 1.25;

/** Chooses a group to dissolve by declared shares: its members and free endpoints form one group without a load. */
export function chooseDeclaredRebalance(input: RebalanceInput): Rebalance | undefined {
    const recipient = chooseRecipient(input);
    for (const group of input.groups) {
        const donor = input.models.find(model => model.name === group.model);
        const domain = group.head?.engine?.fabricDomain;
        if (
            donor === undefined || donor === recipient || domain === undefined
            || !isWorthwhile(input.allocation, donor, recipient, 1, 1)
        ) {
            continue;
        }
        const rebalance = buildRebalance(input, { donor, recipient, domain, groups: [group], formed: 1 });
        if (rebalance.unfinishedLoads === 0) {
            return rebalance;
        }
    }
    return undefined;
}

/**
 * Chooses the groups to dissolve by measured shares, in the domain that needs the fewest loads and then interrupts the
 * fewest requests. One large group gives members for several small ones, and several small groups for a large one.
 */
export function chooseMeasuredRebalance(input: RebalanceInput): Rebalance | undefined {
    const recipient = chooseRecipient(input);
    const domains = new Set(input.groups.map(group => group.head?.engine?.fabricDomain ?? ""));
    const choices = [...domains].flatMap(domain =>
        input.models.filter(model => model !== recipient).flatMap(donor =>
            chooseInDomain(input, donor, recipient, domain) ?? []
        )
    );
    choices.sort((left, right) =>
        left.loads - right.loads || left.unfinishedLoads - right.unfinishedLoads || left.running - right.running
    );
    return choices.at(0);
}

function chooseInDomain(
    input: RebalanceInput,
    donor: EngineModelProfile,
    recipient: EngineModelProfile,
    domain: string,
): Rebalance | undefined {
    const countUnready = (group: EngineGroup) =>
        group.members.filter(view => !input.isReady(view, recipient) && !input.isStaging(view, recipient)).length;
    const cheapestFirst = input.groups
        .filter(group => group.model === donor.name && group.head?.engine?.fabricDomain === domain)
        .sort((left, right) => countUnready(left) - countUnready(right) || countRequests(left) - countRequests(right));
    const freeCount = input.free.get(domain)?.length ?? 0;
    const dissolved = Math.max(1, Math.ceil((recipient.groupSize - freeCount) / donor.groupSize));
    const formed = Math.floor((dissolved * donor.groupSize + freeCount) / recipient.groupSize);
    if (dissolved > cheapestFirst.length || !isWorthwhile(input.allocation, donor, recipient, dissolved, formed)) {
        return undefined;
    }
    return buildRebalance(input, { donor, recipient, domain, groups: cheapestFirst.slice(0, dissolved), formed });
}

function chooseRecipient({ models, allocation }: RebalanceInput): EngineModelProfile {
    return [...models].sort((left, right) => allocation.compute(left) - allocation.compute(right))[0];
}

/** Whether the lower of the two models' allocations rises enough. */
function isWorthwhile(
    allocation: Allocation,
    donor: EngineModelProfile,
    recipient: EngineModelProfile,
    dissolved: number,
    formed: number,
): boolean {
    const after = Math.min(allocation.compute(donor, -dissolved), allocation.compute(recipient, formed));
    return after > allocation.compute(recipient) * MIN_REBALANCE_GAIN;
}

function buildRebalance(
    { allocation, free, isReady, isStaging }: RebalanceInput,
    parts: Pick<Rebalance, "donor" | "recipient" | "domain" | "groups"> & { formed: number },
): Rebalance {
    const { donor, recipient, domain, groups, formed } = parts;
    const views = [...free.get(domain) ?? [], ...groups.flatMap(group => group.members)];
    const needed = formed * recipient.groupSize;
    const others = views.filter(view => !isReady(view, recipient));
    const unready = others.filter(view => !isStaging(view, recipient));
    return {
        donor,
        recipient,
        domain,
        groups,
        unready,
        loads: Math.max(0, needed - (views.length - unready.length)),
        unfinishedLoads: Math.max(0, needed - (views.length - others.length)),
        running: groups.reduce((sum, group) => sum + countRequests(group), 0),
        isFirst: allocation.getCount(recipient.name) === 0,
    };
}

function countRequests({ head }: EngineGroup): number {
    return (head?.engine?.running ?? 0) + (head?.engine?.waiting ?? 0);
}
