import { DemandBoard } from "@kumquathall/demand";
import type { EngineProfile } from "@kumquathall/types";
import { type ShareSelection, ShareSelector } from "../shareSelector.js";

const INTERVAL_MS = 1000;
const GATEWAYS = 12;
/** Requests that all gateways report in an interval. */
const REQUESTS = 120;

/** Reports of gateways about a demand that changes over time, and the leader's choice of shares by them. */
export class DemandFeed {
    /** Number of changes of the shares in use. */
    changes = 0;
    private board = new DemandBoard();
    private selector = new ShareSelector();
    private reportedAt = 0;

    /** `getShare` returns the part of the work that is for the first model; NaN while there are no callers. */
    constructor(private readonly profile: EngineProfile, public getShare: (now: number) => number) {}

    /** Replaces the leader by one whose process has received the same reports, or by one that has received none. */
    resetLeader(hasReports: boolean): void {
        this.selector = new ShareSelector();
        this.board = hasReports ? this.board : new DemandBoard();
    }

    select(endpoints: number, now: number): ShareSelection {
        if (now - this.reportedAt >= INTERVAL_MS) {
            this.reportedAt = now;
            this.report(now);
        }
        const measured = this.board.computeShares("s", this.profile, now);
        const selection = this.selector.select({ profile: this.profile, measured, endpoints, now });
        this.changes += selection.hasChanged ? 1 : 0;
        return selection;
    }

    private report(now: number): void {
        const share = this.getShare(now);
        if (Number.isNaN(share)) {
            return;
        }
        const items = this.profile.models.map(({ name }, at) => ({
            service: "s",
            model: name,
            workMs: INTERVAL_MS * (at === 0 ? share : 1 - share),
            requests: REQUESTS / GATEWAYS / this.profile.models.length,
        }));
        for (let at = 0; at < GATEWAYS; at++) {
            this.board.record(`g${at}`, { kind: "modelDemand", items, intervalMs: INTERVAL_MS }, now);
        }
    }
}
