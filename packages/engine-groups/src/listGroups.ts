import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState } from "@kumquathall/types";
import { parseGroupName } from "./groupName.js";

/** A replica group or standby group, derived from its members' reports. */
export interface EngineGroup {
    /** From {@link formatGroupKey}. Name and epoch together are unique. */
    key: string;
    name: string;
    epoch: number;
    model: string;
    size: number;
    isStandby: boolean;
    /** Members that are alive and report this group, by rank. */
    members: EndpointView[];
    head: EndpointView | undefined;
    /** The head is known to be lost. A missing head that is not known to be lost may be unreachable but still serve. */
    isHeadLost: boolean;
    /** Every member is alive and none is leaving. */
    isComplete: boolean;
    /** A member is known to be lost, or the head reports the group as broken: none of its requests will complete. */
    isBroken: boolean;
    /** The group is broken or a member is leaving. Otherwise, a missing member may just not have reported yet. */
    isDegraded: boolean;
    /** Every reporting member has finished its join. */
    isReady: boolean;
    /** The head accepts requests. */
    isOpen: boolean;
}

/** Formats the key that identifies a group. */
export function formatGroupKey(name: string, epoch: number): string {
    return `${name}@${epoch}`;
}

/** Derives the groups from endpoints' reports. Lost endpoints are not members but mark their group as broken. */
export function listEngineGroups(views: EndpointView[]): EngineGroup[] {
    const membersByKey = new Map<string, EndpointView[]>();
    const brokenKeys = new Set<string>();
    const headLostKeys = new Set<string>();
    for (const view of views) {
        const group = view.engine?.group;
        if (group === undefined) {
            continue;
        }
        const key = formatGroupKey(group.name, group.epoch);
        if (view.isLost) {
            brokenKeys.add(key);
            if (group.rank === 0) {
                headLostKeys.add(key);
            }
        }
        else {
            const members = membersByKey.get(key);
            if (members === undefined) {
                membersByKey.set(key, [view]);
            }
            else {
                members.push(view);
            }
        }
    }
    return [...membersByKey].flatMap(([key, members]) => {
        const group = buildGroup(key, members, brokenKeys.has(key), headLostKeys.has(key));
        return group === undefined ? [] : [group];
    });
}

function buildGroup(
    key: string,
    unsorted: EndpointView[],
    hasLostMember: boolean,
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
    const isBroken = hasLostMember || headState === EngineGroupState.Broken;
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
