import type { Rebalance } from "./rebalance.js";

type Direction = Pick<Rebalance, "donor" | "recipient">;

/** Time until the members of dissolved groups serve again, in milliseconds: leave, load from host memory, formation. */
const SETTLE_MS = 3000;
/** Time after a rebalance, or after the last moment its opposite was worthwhile, in which opposites are held back. */
const HOLD_MS = 60_000;
/** Time for which an opposite must be worthwhile before it is made, in milliseconds: half of a wave of 30 s. */
const MIN_OPPOSITE_MS = 15_000;
/**
 * Time for which a rebalance must be worthwhile before groups are dissolved for it, in milliseconds: longer than the head of
 * a group with a lost member takes to leave, so that the members that are left can form the group anew.
 */
const MIN_LASTING_MS = 1000;
/** A rebalance that isn't worthwhile for less than this, in milliseconds, as while a group is repaired, still is. */
const MAX_GAP_MS = 1000;

/** Past rebalances of one service, by which waves of the demand don't move groups back and forth. */
export class RebalanceHistory {
    private last: { donor: string; recipient: string } | undefined;
    /** Time of the last rebalance, or the last time at which its opposite was worthwhile. */
    private heldSince = Number.NEGATIVE_INFINITY;
    private readonly startedAt = new Map<string, number>();
    /** The direction that is worthwhile, since when, and when it last was. */
    private wanted: { donor: string; recipient: string; since: number; seenAt: number } | undefined;

    /** Records which rebalance is worthwhile now and returns whether it may be made. A model's first group isn't held back. */
    admitRebalance(rebalance: Rebalance, now: number): boolean {
        const donor = rebalance.donor.name;
        const recipient = rebalance.recipient.name;
        const { wanted } = this;
        const isSame = wanted?.donor === donor && wanted.recipient === recipient && now - wanted.seenAt <= MAX_GAP_MS;
        const since = isSame ? wanted.since : now;
        this.wanted = { donor, recipient, since, seenAt: now };
        const isHeld = this.isOpposite(rebalance) && now - this.heldSince < HOLD_MS;
        if (isHeld) {
            this.heldSince = now;
        }
        return now - (this.startedAt.get(rebalance.domain) ?? Number.NEGATIVE_INFINITY) >= SETTLE_MS
            && (!isHeld || rebalance.isFirst || now - since >= MIN_OPPOSITE_MS);
    }

    /** Whether the rebalance that was admitted last has been worthwhile for long enough to dissolve groups for it. */
    isLasting(now: number): boolean {
        return this.wanted !== undefined && now - this.wanted.since >= MIN_LASTING_MS;
    }

    recordStart({ donor, recipient, domain }: Rebalance, now: number): void {
        this.last = { donor: donor.name, recipient: recipient.name };
        this.heldSince = now;
        this.startedAt.set(domain, now);
    }

    private isOpposite({ donor, recipient }: Direction): boolean {
        return this.last !== undefined && (this.last.donor === recipient.name || this.last.recipient === donor.name);
    }
}
