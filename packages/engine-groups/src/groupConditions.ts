import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState } from "@kumquathall/types";
import { type EngineGroup, formatGroupKey } from "./listGroups.js";
import type { OrderPlanInput } from "./orderPlanInput.js";

/** An endpoint whose report is older than this is not a member of new groups, and its group is not opened. */
const MAX_REPORT_AGE_MS = 2500;
/** An endpoint that has sent neither heartbeat nor observation for this long serves no more; partitions are shorter. */
const MAX_SILENCE_MS = 15_000;
/** Answers what holds of existing groups, by the endpoints' reports and the orders of this leader. */
export class GroupConditions {
    private readonly viewsById: Map<string, EndpointView>;

    constructor(private readonly input: OrderPlanInput) {
        this.viewsById = new Map(input.views.map(view => [view.id, view]));
    }

    /**
     * Whether all ordered members are alive, staying and in no newer or active group, and some have not reported joining
     * yet. Joins may take effect seconds after they were ordered, and after joins that were ordered later.
     */
    isForming(group: EngineGroup, activeKeys: Set<string>): boolean {
        const ordered = this.input.getOrderedMembers(group.key);
        if (ordered === undefined || ordered.length === 0 || group.isComplete || group.isOpen) {
            return false;
        }
        const views = ordered.map(id => this.findView(id));
        return views.every(view => {
            if (view === undefined || view.isLost || view.isLeaving || !this.isFresh(view)) {
                return false;
            }
            const other = view.engine?.group;
            if (other === undefined || other.epoch > group.epoch) {
                return other === undefined;
            }
            return other.epoch === group.epoch
                ? !this.input.canJoinOther(view, group.key)
                : !activeKeys.has(formatGroupKey(other.name, other.epoch));
        });
    }

    /**
     * Whether a complete group keeps its members: one that does not serve yet is given up if a member was ordered into
     * another group and may still join it.
     */
    canKeepMembers(group: EngineGroup): boolean {
        return group.isOpen || this.input.isOpening(group.key)
            || !group.members.some(member => this.input.canJoinOther(member, group.key));
    }

    /**
     * Whether members are leaving while the head still runs requests. Gateways send no new requests to the head, and
     * a leaving member terminates after a while even if the head still runs some, so draining always ends.
     */
    isDraining(group: EngineGroup): boolean {
        const { running = 0, waiting = 0 } = group.head?.engine ?? {};
        return group.isDegraded && !group.isBroken && group.isOpen && group.members.length === group.size
            && running + waiting > 0;
    }

    /**
     * Whether an incomplete group is certain to lack a member: a member is known to be lost or leaving, every live
     * endpoint has reported, or this leader ordered the members itself.
     */
    isConfirmedDegraded(group: EngineGroup): boolean {
        return group.isDegraded || this.input.hasCompleteView || this.input.getOrderedMembers(group.key) !== undefined;
    }

    /**
     * Whether the head can be an endpoint that is alive and that no sidecar observes now, so that what is known of it may
     * be from before it joined the group.
     */
    canHeadServe(group: EngineGroup): boolean {
        const headId = this.input.getOrderedMembers(group.key)?.at(0);
        const domain = group.members[0].engine?.fabricDomain;
        return this.input.views.some(view => {
            const isCandidate = headId === undefined ? view.engine?.fabricDomain === domain : view.id === headId;
            const isObserved = view.isObserved && this.isFresh(view);
            return isCandidate && !view.isLost && !isObserved && !group.members.includes(view)
                && this.input.now - view.lastSeenAt < MAX_SILENCE_MS;
        });
    }

    canOpen(group: EngineGroup): boolean {
        return group.isReady && group.head !== undefined
            && group.head.engine?.group?.state === EngineGroupState.Ready
            && group.members.every(member => this.isFresh(member));
    }

    isFresh(view: EndpointView): boolean {
        return this.input.now - view.engineReportedAt < MAX_REPORT_AGE_MS;
    }

    findView(id: string): EndpointView | undefined {
        return this.viewsById.get(id);
    }
}
