import { countMajority, getLastIndex, getMembers, getTermAt } from "./log.js";
import { type ConsensusOptions, type ConsensusState, Role } from "./state.js";

/**
 * When the leader's lease ends: the lease duration after the latest time at which it had sent appends
 * that a majority, itself included, has answered. Members give no vote for an election timeout after an append.
 */
export function computeLeaseEnd(state: ConsensusState<unknown>, now: number, options: ConsensusOptions): number {
    if (state.role !== Role.Leader) {
        return Number.NEGATIVE_INFINITY;
    }
    return computeMajorityContact(state, now) + options.leaseMs;
}

/** Latest time at or after which a majority has been heard, counted by the send times of the appends they answered. */
export function computeMajorityContact(state: ConsensusState<unknown>, now: number): number {
    const members = getMembers(state);
    const contacts = members.map(member =>
        member === state.id ? now : state.peers[member]?.answeredSentAt ?? Number.NEGATIVE_INFINITY
    );
    contacts.sort((left, right) => right - left);
    return contacts[countMajority(members) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** Whether this member may answer a read or give an order now: it leads, its lease holds, and an entry of its term is committed. */
export function canServeRead(state: ConsensusState<unknown>, now: number, options: ConsensusOptions): boolean {
    return state.role === Role.Leader && hasCommittedInTerm(state) && now < computeLeaseEnd(state, now, options);
}

/** Whether an entry of the current term is committed. Before that a new leader does not know what older terms committed. */
export function hasCommittedInTerm(state: ConsensusState<unknown>): boolean {
    return state.commitIndex <= getLastIndex(state) && getTermAt(state, state.commitIndex) === state.hardState.term;
}
