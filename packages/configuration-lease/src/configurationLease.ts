import type { VouchAnswer } from "@kumquathall/types";

/** A member's newest word, with the reader's monotonic time at which the question was sent. */
export interface RevisionReport {
    member: string;
    members: readonly string[];
    /** Newest configuration entry in the member's log when it answered, committed or not. */
    accepted: number;
    sentAt: number;
}

export interface ConfigurationLeaseInput {
    reports: readonly RevisionReport[];
    /** Revision that the reader has applied. */
    revision: number;
    /** Length of the lease, in milliseconds. */
    leaseMs: number;
    /** Set only by model-checking mutants. */
    disabledGuard?: string;
}

/** Replaces a member's word when the new one was asked later. */
export function recordRevisionReport(
    vouches: readonly RevisionReport[],
    answer: VouchAnswer,
    sentAt: number,
): RevisionReport[] {
    const known = vouches.find(vouch => vouch.member === answer.member);
    if (known !== undefined && known.sentAt >= sentAt) {
        return [...vouches];
    }
    return [...vouches.filter(vouch => vouch.member !== answer.member), { ...answer, sentAt }];
}

/**
 * When the reader's configuration lease ends, on its monotonic clock.
 * A change is in force once a majority has it in its log. If a majority, asked at or after some time, has nothing newer than
 * the reader, then no newer change was in force at that time, with or without a leader.
 * Only words that agree on who the members are count together.
 */
export function computeConfigurationLeaseEnd(input: ConfigurationLeaseInput): number {
    const { reports: vouches, revision, leaseMs, disabledGuard } = input;
    let latest = Number.NEGATIVE_INFINITY;
    for (const reference of vouches) {
        const members = reference.members;
        const needed = disabledGuard === "majorityOfVouches" ? 1 : Math.floor(members.length / 2) + 1;
        const times = vouches
            .filter(vouch => members.includes(vouch.member) && isSameMembers(vouch.members, members))
            .filter(vouch => vouch.accepted <= revision || disabledGuard === "vouchNotNewer")
            .map(vouch => vouch.sentAt)
            .sort((left, right) => right - left);
        if (times.length >= needed) {
            latest = Math.max(latest, times[needed - 1] + leaseMs);
        }
    }
    return latest;
}

function isSameMembers(left: readonly string[], right: readonly string[]): boolean {
    return left.length === right.length && left.every(member => right.includes(member));
}
