import { countMajority, getLastIndex, getMembers, getTermAt } from "./log.js";
import { type ConsensusOptions, type ConsensusState, Role } from "./state.js";

/**
 * Returns when the leader's lease ends, `-Infinity` on any other member: the lease duration after the latest time such
 * that a majority, the leader included, has answered an append sent then or later. The lease is safe because members
 * grant no vote for an election timeout after an append. Contact before `leaseSince` gives no lease.
 */
export function computeLeaseEnd(state: ConsensusState<unknown>, now: number, options: ConsensusOptions): number {
    if (state.role !== Role.Leader) {
        return Number.NEGATIVE_INFINITY;
    }
    const contact = computeMajorityContact(state, now);
    return contact < state.leaseSince ? Number.NEGATIVE_INFINITY : contact + options.leaseMs;
}

/** Latest time such that a majority, this member included, has answered an append sent at that time or later. */
export function computeMajorityContact(state: ConsensusState<unknown>, now: number): number {
    const members = getMembers(state);
    const contacts = members.map(member =>
        member === state.id ? now : state.peers[member]?.answeredSentAt ?? Number.NEGATIVE_INFINITY
    );
    contacts.sort((left, right) => right - left);
    return contacts[countMajority(members) - 1] ?? Number.NEGATIVE_INFINITY;
}

/** Whether this member may serve reads and issue orders: it leads, holds the lease, and has committed in its term. */
export function canServeRead(state: ConsensusState<unknown>, now: number, options: ConsensusOptions): boolean {
    return state.role === Role.Leader && hasCommittedInTerm(state) && now < computeLeaseEnd(state, now, options);
}

/** Whether an entry of this term is committed. Until then a new leader does not know what older terms committed. */
export function hasCommittedInTerm(state: ConsensusState<unknown>): boolean {
    return state.commitIndex <= getLastIndex(state) && getTermAt(state, state.commitIndex) === state.hardState.term;
}
