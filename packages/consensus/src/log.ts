import type { LogEntry } from "@kumquathall/types";
import type { ConsensusState } from "./state.js";

/** Index of the newest entry, 0 for an empty log. */
export function getLastIndex(state: ConsensusState<unknown>): number {
    return state.snapshotIndex + state.entries.length;
}

/** Term of the entry at an index, or `undefined` if the log does not hold it. */
export function getTermAt(state: ConsensusState<unknown>, index: number): number | undefined {
    if (index === state.snapshotIndex) {
        return state.snapshotTerm;
    }
    return state.entries[index - state.snapshotIndex - 1]?.term;
}

/** Term of the newest entry. */
export function getLastTerm(state: ConsensusState<unknown>): number {
    return getTermAt(state, getLastIndex(state)) ?? 0;
}

/** Entries from one index to another, both included. */
export function getEntries<Payload>(state: ConsensusState<Payload>, from: number, to: number): LogEntry<Payload>[] {
    return state.entries.slice(Math.max(0, from - state.snapshotIndex - 1), Math.max(0, to - state.snapshotIndex));
}

/** Members of the control group according to the newest membership entry in the log, committed or not. */
export function getMembers(state: ConsensusState<unknown>): readonly string[] {
    return getMembersAt(state, getLastIndex(state));
}

/** Members of the control group as of an index that the log holds: according to the newest membership entry up to it. */
export function getMembersAt(state: ConsensusState<unknown>, index: number): readonly string[] {
    for (let at = index - state.snapshotIndex - 1; at >= 0; at--) {
        const payload = state.entries[at].payload;
        if (payload.kind === "members") {
            return payload.members;
        }
    }
    return state.snapshotMembers;
}

/** Members whose disks hold the log up to an index, as far as this member knows. Only the leader knows of others. */
export function listHolders(state: ConsensusState<unknown>, index: number): string[] {
    return getMembers(state).filter(member => hasCopy(state, member, index));
}

/** Whether the disk of a member or learner holds the log up to an index, all that is committed by default, as far as known. */
export function hasCopy(state: ConsensusState<unknown>, process: string, index: number = state.commitIndex): boolean {
    const held = process === state.id ? state.durableIndex : state.peers[process]?.matchIndex ?? 0;
    return held >= index;
}

/** Whether the log holds a change of members that is not committed, as far as this member knows. */
export function isChangingMembers(state: ConsensusState<unknown>): boolean {
    return getEntries(state, state.commitIndex + 1, getLastIndex(state)).some(entry =>
        entry.payload.kind === "members"
    );
}

/** Number of members that form a majority. */
export function countMajority(members: readonly string[]): number {
    return Math.floor(members.length / 2) + 1;
}
