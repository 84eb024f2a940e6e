import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineOrder } from "@kumquathall/types";

interface SentOrder {
    bornMs: number;
    order: EngineOrder;
    sentAt: number;
}

interface SentJoin {
    bornMs: number;
    groupKey: string;
    /** Order count of the endpoint at which the join applies. */
    expectedSequence: number;
}

/** An order without a visible effect is sent again after this time, in milliseconds: a few reports of the sidecar. */
const RESEND_AFTER_MS = 500;

/** Orders of this leader whose effect is not reported yet. In memory only: a new leader starts from reports. */
export class OrderTracker {
    /** Newest order to each endpoint, by id. */
    private readonly sent = new Map<string, SentOrder>();
    /** Joins that may still take effect, by endpoint id: an endpoint carries out the one that it gets first. */
    private readonly joins = new Map<string, SentJoin[]>();
    /** Members ordered into each group, by the group's key. */
    private readonly members = new Map<string, string[]>();
    /** Models being staged, by endpoint id. */
    private readonly staging = new Map<string, { bornMs: number; model: string }>();
    /** When each group was ordered to open, by the group's key. */
    private readonly openedAt = new Map<string, number>();

    recordOrder(target: EndpointView, order: EngineOrder, now: number): void {
        this.sent.set(target.id, { bornMs: target.bornMs, order, sentAt: now });
        if (order.kind === "join") {
            this.members.set(`${order.group}@${order.epoch}`, order.members);
            this.recordJoin(target, `${order.group}@${order.epoch}`, order.expectedSequence);
        }
        if (order.kind === "leave") {
            this.members.set(`${order.group}@${order.epoch}`, []);
        }
        if (order.kind === "open") {
            this.openedAt.set(`${order.group}@${order.epoch}`, now);
        }
        if (order.kind === "stage") {
            this.staging.set(target.id, { bornMs: target.bornMs, model: order.model });
        }
    }

    /** Drops orders whose effect an endpoint's newest report shows, or that were meant for an older incarnation. */
    applyReport(view: EndpointView, now: number): void {
        const sent = this.sent.get(view.id);
        const sequence = view.engine?.orderSequence ?? 0;
        if (sent !== undefined && (sent.bornMs !== view.bornMs || sequence > sent.order.expectedSequence)) {
            this.sent.delete(view.id);
        }
        else if (sent?.order.kind === "stage" && now - sent.sentAt >= RESEND_AFTER_MS) {
            this.staging.delete(view.id);
        }
        this.dropJoins(view);
        const staging = this.staging.get(view.id);
        const isStaged = staging !== undefined && view.engine?.staged.includes(staging.model) === true;
        if (staging !== undefined && (staging.bornMs !== view.bornMs || isStaged)) {
            this.staging.delete(view.id);
        }
    }

    /** Whether an endpoint was ordered to join another group than this one, and may still do so. */
    canJoinOther(view: EndpointView, groupKey: string): boolean {
        return this.joins.get(view.id)?.some(join => join.groupKey !== groupKey) === true;
    }

    /** Whether the newest order to an endpoint may still take effect without being sent again. */
    isPending(view: EndpointView, now: number): boolean {
        const sent = this.sent.get(view.id);
        return sent !== undefined && now - sent.sentAt < RESEND_AFTER_MS;
    }

    /** Whether a group was ordered to open less than `withinMs` ago. */
    isOpening(groupKey: string, now: number, withinMs: number): boolean {
        return now - (this.openedAt.get(groupKey) ?? Number.NEGATIVE_INFINITY) < withinMs;
    }

    getMembers(groupKey: string): string[] | undefined {
        return this.members.get(groupKey);
    }

    getStagingModel(view: EndpointView): string | undefined {
        return this.staging.get(view.id)?.model;
    }

    private recordJoin(target: EndpointView, groupKey: string, expectedSequence: number): void {
        const others = (this.joins.get(target.id) ?? []).filter(join => join.groupKey !== groupKey);
        this.joins.set(target.id, [...others, { bornMs: target.bornMs, groupKey, expectedSequence }]);
    }

    /** Drops joins that no longer take effect: the endpoint has carried out another order since, or has restarted. */
    private dropJoins(view: EndpointView): void {
        const joins = this.joins.get(view.id);
        if (joins === undefined) {
            return;
        }
        const sequence = view.engine?.orderSequence ?? 0;
        const left = joins.filter(join => join.bornMs === view.bornMs && !(join.expectedSequence < sequence));
        if (left.length === 0) {
            this.joins.delete(view.id);
        }
        else if (left.length < joins.length) {
            this.joins.set(view.id, left);
        }
    }

    clear(): void {
        this.sent.clear();
        this.joins.clear();
        this.members.clear();
        this.openedAt.clear();
        this.staging.clear();
    }
}
