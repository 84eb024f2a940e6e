import { PERMIT_VALID_MS, type PermitGrant } from "@kumquathall/types";

const MS_PER_SECOND = 1000;

/** One gateway's permits to send to one limited endpoint. Times are monotonic milliseconds. */
export class PermitStock {
    /** Permits by the times at which they expire, the earliest first. */
    private granted: { count: number; expiresAt: number }[] = [];
    /** Permits that requests have wanted since the last call, and from when on they are counted. */
    private wanted = 0;
    private wantedSince = 0;
    /** Time from which control may have the next permit. */
    private nextAt = 0;
    /** Time at which a request that is refused now can expect one. */
    private expectedAt = 0;
    /** This gateway's even share, while no leader can be reached. */
    private share: { permits: number; at: number } | undefined;

    get wantedCount(): number {
        return this.wanted;
    }

    /** Records that a request would use a permit. Former wants are forgotten after a while. */
    recordWant(now: number): void {
        if (now - this.wantedSince > PERMIT_VALID_MS) {
            this.wanted = 0;
            this.wantedSince = now;
        }
        this.wanted++;
    }

    /** Returns the number of permits to call for. */
    collectWants(): number {
        const { wanted } = this;
        this.wanted = 0;
        return wanted;
    }

    has(now: number): boolean {
        return this.findValid(now) !== undefined || (this.share !== undefined && this.share.permits >= 1);
    }

    take(now: number): void {
        const valid = this.findValid(now);
        if (valid !== undefined) {
            valid.count--;
        }
        else if (this.share !== undefined) {
            this.share.permits--;
        }
    }

    /** Adds what control has granted to a call at `calledAt`, from when on its permits count as used up to their end. */
    apply(grant: PermitGrant, calledAt: number, now: number): void {
        this.share = undefined;
        const { count, validMs = PERMIT_VALID_MS } = grant;
        this.granted = [...this.granted.filter(item => item.expiresAt > now), { count, expiresAt: calledAt + validMs }]
            .sort((left, right) => left.expiresAt - right.expiresAt);
        this.nextAt = now + grant.nextMs;
        this.expectedAt = now + grant.retryAfterMs;
    }

    /** Adds what an even share of the limit gives since the last call. The first share begins at a random phase. */
    advanceShare(sharePerSecond: number, random: number, now: number): void {
        const { permits, at } = this.share ?? { permits: random, at: now };
        this.share = { permits: Math.min(1, permits + sharePerSecond * (now - at) / MS_PER_SECOND), at: now };
        this.nextAt = now + (1 - this.share.permits) * MS_PER_SECOND / sharePerSecond;
        this.expectedAt = Math.max(this.expectedAt, this.nextAt);
    }

    clearShare(): void {
        this.share = undefined;
        this.nextAt = 0;
    }

    /** Drops all permits, which were granted at another rate. */
    clear(): void {
        this.granted = [];
        this.expectedAt = 0;
        this.clearShare();
    }

    /** Whether control may have a permit that some request wants. */
    isCallDue(now: number): boolean {
        return this.wanted > 0 && (now >= this.nextAt || this.share !== undefined);
    }

    /** Time until the next permit, in milliseconds; 0 if it can be called for now. */
    getWaitMs(now: number): number {
        return Math.max(0, this.nextAt - now);
    }

    getRetryAfterMs(now: number): number {
        return Math.max(0, this.expectedAt - now, this.nextAt - now);
    }

    private findValid(now: number): { count: number } | undefined {
        return this.granted.find(item => item.count > 0 && now < item.expiresAt);
    }
}
