import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState } from "@kumquathall/types";
import { parseGroupName } from "./groupName.js";

/** A replica group as the reports of its members show it. */
export interface EngineGroup {
    /** Name and epoch together are unique. */
    key: string;
    name: string;
    epoch: number;
    model: string;
    size: number;
    isStandby: boolean;
    /** Members that are alive and say that they belong to it, by rank. */
    members: EndpointView[];
    head: EndpointView | undefined;
    /** The head is known to be lost; without that, one that is missing may be unheard, and serve. */
    isHeadLost: boolean;
    /** Every member is alive, and none is leaving. */
    isComplete: boolean;
    /** A member is known to be lost, or the head has broken off: nothing that it runs will end. */
    isBroken: boolean;
    /** It is broken or a member is leaving. Without that, a missing one may just be unheard. */
    isDegraded: boolean;
    /** Every member has finished its join. */
    isReady: boolean;
    isOpen: boolean;
}

/** Key of a group: its name and epoch. */
export function formatGroupKey(name: string, epoch: number): string {
    return `${name}@${epoch}`;
}

/** Collects the groups from endpoints' reports. Lost endpoints are no members, but show that their group is defective. */
export function listEngineGroups(views: EndpointView[]): EngineGroup[] {
    const byKey = new Map<string, EndpointView[]>();
    const lost = new Set<string>();
    const lostHeads = new Set<string>();
    for (const view of views) {
        const group = view.engine?.group;
        if (group === undefined) {
            continue;
        }
        const key = formatGroupKey(group.name, group.epoch);
        if (view.isLost) {
            lost.add(key);
            if (group.rank === 0) {
                lostHeads.add(key);
            }
        }
        else {
            byKey.set(key, [...byKey.get(key) ?? [], view]);
        }
    }
    return [...byKey].flatMap(([key, members]) => {
        const group = buildGroup(key, members, lost.has(key), lostHeads.has(key));
        return group === undefined ? [] : [group];
    });
}

function buildGroup(
    key: string,
    unsorted: EndpointView[],
    hasLost: boolean,
    isHeadLost: boolean,
): EngineGroup | undefined {
    const members = [...unsorted].sort((left, right) => getRank(left) - getRank(right));
    const first = members[0].engine?.group;
    const parsed = first === undefined ? undefined : parseGroupName(first.name);
    if (first === undefined || parsed === undefined) {
        return undefined;
    }
    const head = members.find(member => getRank(member) === 0);
    const ranks = new Set(members.map(getRank));
    const headState = head?.engine?.group?.state;
    const isBroken = hasLost || headState === EngineGroupState.Broken;
    const isDegraded = isBroken || members.some(member => member.isLeaving);
    return {
        key,
        name: first.name,
        epoch: first.epoch,
        model: parsed.model,
        size: parsed.size,
        isStandby: parsed.isStandby,
        members,
        head,
        isHeadLost,
        isComplete: ranks.size === parsed.size && members.length === parsed.size && !isDegraded,
        isBroken,
        isDegraded,
        isReady: members.every(member => member.engine?.group?.state !== EngineGroupState.Joining),
        isOpen: headState === EngineGroupState.Open,
    };
}

function getRank(view: EndpointView): number {
    return view.engine?.group?.rank ?? Number.MAX_SAFE_INTEGER;
}
