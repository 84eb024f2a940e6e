import type { EndpointView } from "@kumquathall/endpoint-registry";
import { EngineGroupState } from "@kumquathall/types";

export interface FleetSettlingInput {
    /** Endpoints of one engine service. */
    views: EndpointView[];
    now: number;
    /** When the first endpoint appeared; `undefined` before that. */
    firstSeenAt: number | undefined;
    /** When the most recent endpoint appeared. */
    newestFirstSeenAt: number;
}

/** Time without a new endpoint before groups form, in milliseconds: far above the gaps in a simultaneous start. */
const QUIET_MS = 300;
/** Longest wait for endpoints and their sidecars, in milliseconds: two heartbeats and the first connection attempts. */
const MAX_WAIT_MS = 3000;

/**
 * Whether all endpoints that a plan may use have appeared, as far as can be known. Groups formed of the first endpoints
 * would take those that larger groups need, and an endpoint whose sidecar has not linked yet cannot receive orders.
 */
export function isFleetSettled(input: FleetSettlingInput): boolean {
    const { firstSeenAt, now } = input;
    if (firstSeenAt === undefined) {
        return false;
    }
    const isQuiet = now - input.newestFirstSeenAt > QUIET_MS;
    const isObserved = input.views.every(view => view.isLost || view.isObserved);
    return (isQuiet && isObserved) || now - firstSeenAt > MAX_WAIT_MS;
}

export interface ViewCompletenessInput {
    now: number;
    /** When the first endpoint appeared; `undefined` before that. */
    firstSeenAt: number | undefined;
    /** When the most recent endpoint appeared. */
    newestFirstSeenAt: number;
    /** Since when this member leads. */
    leaderSince: number;
}

/** Time in which every sidecar links to a new leader, in milliseconds: two dials at the longest backoff and a report. */
const DISCOVERY_MS = 5000;
/** Time in which joins that a former leader ordered are reported, in milliseconds; joins without a load take less. */
const FORMER_LEADER_ORDERS_MS = 2000;
/** Time without a new endpoint after which none is missing, in milliseconds: above the interval of heartbeats. */
const APPEARING_MS = 1500;
/** Longer than any expected partition between control and an endpoint that still serves, in milliseconds. */
const MAX_PARTITION_MS = 15_000;

/**
 * Whether every live endpoint has had time to report, and a former leader's orders have, too: a member that has not
 * reported is lost. While endpoints keep appearing after a restart, as when a data centre is reached again, others are
 * still missing.
 */
export function hasCompleteView({ now, firstSeenAt, newestFirstSeenAt, leaderSince }: ViewCompletenessInput): boolean {
    if (firstSeenAt === undefined || now - leaderSince <= FORMER_LEADER_ORDERS_MS) {
        return false;
    }
    const isQuiet = now - newestFirstSeenAt > APPEARING_MS;
    return now - firstSeenAt > DISCOVERY_MS && (isQuiet || isPartitionWindowOver(now, firstSeenAt));
}

/** Whether endpoints have been tracked for longer than a partition lasts. */
export function isPartitionWindowOver(now: number, firstSeenAt: number | undefined): boolean {
    return firstSeenAt !== undefined && now - firstSeenAt > MAX_PARTITION_MS;
}

/**
 * Whether a replica group with an epoch below `epoch` serves. A leader that has restarted, as after a power failure of all
 * control members, and finds one must not load models without limit as before the first client request: callers have been
 * served, and may be before a gateway reports it.
 */
export function hasGroupFormedBefore(views: EndpointView[], epoch: number): boolean {
    return views.some(({ engine }) => engine?.group?.state === EngineGroupState.Open && engine.group.epoch < epoch);
}
