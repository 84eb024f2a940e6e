import { getMemberAddress } from "@kumquathall/control-directory";
import type { FoundingSettings } from "./controlSettings.js";

export interface MembershipInput {
    members: readonly string[];
    /** This member, which is the leader. */
    self: string;
    /** Processes that asked to join recently. */
    joiners: readonly string[];
    /** Time since a member last answered, in milliseconds. */
    getAnswerAgeMs: (member: string) => number;
    targetMembers: number;
}

/** Number of members that the group grows to and keeps: the target, or the number of founders if that is larger. */
export function computeGroupSize(founding: Pick<FoundingSettings, "seeds" | "targetMembers">): number {
    return Math.max(founding.targetMembers, founding.seeds.length);
}

/** One change of membership; the log takes one at a time. */
export type MemberChange = { kind: "add" | "remove"; member: string; members: string[] };

/** A member that has not answered for this long may be replaced by one that asks to join, in milliseconds. */
const REPLACE_AFTER_MS = 2500;

/**
 * Chooses the next change of the control group, if any. A joiner at a member's address proves that this member has lost
 * its disk: the member is removed before the joiner is added. At the target size, joiners wait until a member stops
 * answering. Above it, none is removed for a joiner, since none would be added.
 */
export function planMembership(input: MembershipInput): MemberChange | undefined {
    const joiners = input.joiners.filter(candidate => !input.members.includes(candidate));
    const former = input.members.find(member =>
        member !== input.self && joiners.some(joiner => getMemberAddress(joiner) === getMemberAddress(member))
    );
    if (former !== undefined) {
        return buildRemoval(input, former);
    }
    const [joiner] = joiners;
    if (joiner === undefined) {
        return undefined;
    }
    if (input.members.length < input.targetMembers) {
        return { kind: "add", member: joiner, members: [...input.members, joiner] };
    }
    if (input.members.length > input.targetMembers) {
        return undefined;
    }
    const unresponsive = input.members
        .filter(member => member !== input.self && input.getAnswerAgeMs(member) > REPLACE_AFTER_MS)
        .sort((left, right) => input.getAnswerAgeMs(right) - input.getAnswerAgeMs(left));
    return unresponsive.length === 0 ? undefined : buildRemoval(input, unresponsive[0]);
}

function buildRemoval(input: MembershipInput, member: string): MemberChange {
    return { kind: "remove", member, members: input.members.filter(other => other !== member) };
}
