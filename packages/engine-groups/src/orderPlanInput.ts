import type { EndpointView } from "@kumquathall/endpoint-registry";
import type { EngineModelProfile, EngineOrder, EngineProfile } from "@kumquathall/types";
import type { RebalanceHistory } from "./rebalanceHistory.js";

/** What the plan is computed from. Times are local monotonic milliseconds. */
export interface OrderPlanInput {
    /** Endpoints of one engine service. */
    views: EndpointView[];
    profile: EngineProfile;
    now: number;
    /** No client request has arrived yet: loads are fast, so groups may be formed from members that must load. */
    isBeforeTraffic: boolean;
    /** Every live endpoint has had time to report to this leader: a member that has not reported is lost. */
    hasCompleteView: boolean;
    /** Endpoints have been tracked for longer than a network partition lasts: a head that never reported is lost. */
    isPartitionWindowOver: boolean;
    /** No new endpoints are appearing any more, as they do one after another when a deployment or a leader starts. */
    isSettled: boolean;
    fence: number;
    /** Returns an epoch larger than all earlier ones. */
    createEpoch: () => number;
    /** Whether an order to this endpoint may still take effect. */
    isOrderPending: (view: EndpointView) => boolean;
    /** Admits one load from the weight store if that leaves `reservedSlots` concurrent loads available. */
    admitLoad: (durationMs: number, reservedSlots: number) => boolean;
    /** Members that this leader ordered into a group: none after it ordered the head to leave, undefined if unknown. */
    getOrderedMembers: (groupKey: string) => string[] | undefined;
    /** Whether the endpoint was ordered to join another group than this one, and may still do so. */
    canJoinOther: (view: EndpointView, groupKey: string) => boolean;
    /** Whether the head was recently ordered to open and may still do so. */
    isOpening: (groupKey: string) => boolean;
    /** Name of the model that an endpoint was ordered to stage and has not staged yet. */
    getStagingModel: (view: EndpointView) => string | undefined;
    /** Part of a group's usual work that its head accepts, 0 to 1: less than 1 if the head limits its requests. */
    getAcceptedPart?: (head: EndpointView, model: EngineModelProfile) => number;
    /**
     * Past rebalances, if the profile has measured shares or a data centre is evacuated: groups are then dissolved by
     * {@link chooseMeasuredRebalance}.
     */
    rebalances?: RebalanceHistory;
    /** Whether an endpoint's data centre is evacuated: no group is formed there, and open groups stay and don't count. */
    isEvacuated?: (view: EndpointView) => boolean;
}

export interface PlannedOrder {
    target: EndpointView;
    order: EngineOrder;
    /** Reason for the order, for the log. */
    reason: string;
}
