import type { VouchAnswer } from "@kumquathall/types";

/** A control member's newest answer to a `vouch` call, with the reader's monotonic time of sending the call. */
export interface RevisionReport {
    member: string;
    /** Members of the control group according to this member. */
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
    /** Safety check to skip; set only by the model checker. */
    disabledGuard?: string;
}

/** Replaces a member's report if the call for the new one was sent later. */
export function recordRevisionReport(
    reports: readonly RevisionReport[],
    answer: VouchAnswer,
    sentAt: number,
): RevisionReport[] {
    const known = reports.find(report => report.member === answer.member);
    if (known !== undefined && known.sentAt >= sentAt) {
        return [...reports];
    }
    return [...reports.filter(report => report.member !== answer.member), { ...answer, sentAt }];
}

/**
 * Returns when the reader's configuration lease ends, on its monotonic clock.
 * A change is in force once a majority has it in its log. If a majority, called at or after some time, reports nothing
 * newer than the reader's revision, then no newer change was in force at that time, with or without a leader.
 * Only reports that list the same members count together.
 */
export function computeConfigurationLeaseEnd(input: ConfigurationLeaseInput): number {
    const { reports, revision, leaseMs, disabledGuard } = input;
    let latest = Number.NEGATIVE_INFINITY;
    for (const reference of reports) {
        const members = reference.members;
        const needed = disabledGuard === "majorityOfVouches" ? 1 : Math.floor(members.length / 2) + 1;
        const times = reports
            .filter(report => members.includes(report.member) && isSameMembers(report.members, members))
            .filter(report => report.accepted <= revision || disabledGuard === "vouchNotNewer")
            .map(report => report.sentAt)
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
