/** A gateway without a link counts as serving on for this long, in milliseconds; one that was removed ends by itself. */
const KEEP_ABSENT_MS = 120_000;

/** The gateways that are linked to this member, and those whose links have closed. Times are monotonic milliseconds. */
export class GatewayContact {
    private readonly links = new Map<string, number>();
    private readonly absent = new Map<string, number>();

    /** Records a new link of a gateway. */
    add(id: string): void {
        this.links.set(id, (this.links.get(id) ?? 0) + 1);
        this.absent.delete(id);
    }

    /** Records that a link of a gateway has closed. */
    remove(id: string, now: number): void {
        const left = (this.links.get(id) ?? 0) - 1;
        if (left > 0) {
            this.links.set(id, left);
            return;
        }
        this.links.delete(id);
        this.absent.set(id, now);
    }

    /** Part of the gateways that are linked, 0 to 1. */
    computeLinkedPart(now: number): number {
        for (const [id, since] of this.absent) {
            if (now - since > KEEP_ABSENT_MS) {
                this.absent.delete(id);
            }
        }
        return this.links.size === 0 ? 1 : this.links.size / (this.links.size + this.absent.size);
    }
}
