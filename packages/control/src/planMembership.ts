import { getMemberAddress } from "@kumquathall/control-directory";
import type { FoundingSettings } from "./controlSettings.js";

export interface MembershipInput {
    members: readonly string[];
    /** This member, which is the leader. */
    self: string;
    /** Processes that asked to join recently, in the order in which they are tried. */
    joiners: readonly string[];
    /** Whether the disk of a joiner holds all that was committed a moment ago. */
    hasCopy: (joiner: string) => boolean;
    /** Time for which a member or joiner has not answered the leader, in milliseconds. */
    getSilenceMs: (process: string) => number;
    targetMembers: number;
    /** Safety checks that the model checker skips to verify that it finds the violation; never set in production. */
    disabledGuards?: readonly string[];
}

/** What the leader does about its members now. */
export interface MembershipPlan {
    /** Joiners to which the leader sends the log, so that one of them can be added. */
    learners: string[];
    change: MemberChange | undefined;
}

/** Number of members that the group grows to and keeps: the target, or the number of founders if that is larger. */
export function computeGroupSize(founding: Pick<FoundingSettings, "seeds" | "targetMembers">): number {
    return Math.max(founding.targetMembers, founding.seeds.length);
}

/** One change of membership; the log takes one at a time. */
export type MemberChange = { kind: "add" | "remove"; member: string; members: string[] };

/** A member that has not answered for this long may be replaced by a joiner that holds a copy, in milliseconds. */
const REPLACE_AFTER_MS = 2500;
/** A joiner that holds a copy is added only if it has answered within this time, in milliseconds. */
const ADD_WITHIN_MS = 500;
/** Most joiners that receive the log at once. More than one, so that a slow joiner does not delay a fast one. */
const MAX_LEARNERS = 3;

/**
 * Chooses the next change of the control group, if any. Neither kind of change lowers the number of losses that the group
 * bears:
 *
 * - A member is removed if a joiner at its address proves that its disk is lost: it can never answer again. A silent one,
 *   which may be back with its disk, is removed only once a joiner that holds a copy can take its place.
 * - A joiner is added only once its disk holds all that was committed a moment ago and it answers.
 *
 * At the target size, joiners wait until a member is lost. Above it, none is removed for a joiner that is not added.
 */
export function planMembership(input: MembershipInput): MembershipPlan {
    const { members, self, targetMembers } = input;
    const joiners = input.joiners.filter(joiner => !members.includes(joiner));
    const learners = joiners.slice(0, MAX_LEARNERS);
    const replaced = members.find(member => member !== self && joiners.some(joiner => isSameAddress(joiner, member)));
    if (replaced !== undefined) {
        return { learners: members.length > targetMembers ? [] : learners, change: buildRemoval(input, replaced) };
    }
    const silent = members.length === targetMembers ? findSilent(input) : undefined;
    if (members.length >= targetMembers && silent === undefined) {
        return { learners: [], change: undefined };
    }
    const ready = learners.find(joiner => canAdd(input, joiner));
    if (ready === undefined) {
        return { learners, change: undefined };
    }
    const change: MemberChange = silent === undefined
        ? { kind: "add", member: ready, members: [...members, ready] }
        : buildRemoval(input, silent);
    return { learners, change };
}

function isSameAddress(left: string, right: string): boolean {
    return getMemberAddress(left) === getMemberAddress(right);
}

function canAdd(input: MembershipInput, joiner: string): boolean {
    const holdsCopy = input.hasCopy(joiner) && input.getSilenceMs(joiner) <= ADD_WITHIN_MS;
    return holdsCopy || input.disabledGuards?.includes("addOnlyCopies") === true;
}

/** Finds the member that has not answered for longest, if that is long enough to replace it. */
function findSilent({ members, self, getSilenceMs }: MembershipInput): string | undefined {
    return members.filter(member => member !== self && getSilenceMs(member) > REPLACE_AFTER_MS)
        .sort((left, right) => getSilenceMs(right) - getSilenceMs(left))[0];
}

function buildRemoval(input: MembershipInput, member: string): MemberChange {
    return { kind: "remove", member, members: input.members.filter(other => other !== member) };
}
