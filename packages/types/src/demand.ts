/** Work that callers have offered for one model of an engine service, refused requests included. */
export interface DemandItem {
    service: string;
    model: string;
    /** Endpoint-milliseconds: engine time of the requests times the number of endpoints in a group. */
    workMs: number;
    requests: number;
}

/** Sent by a gateway to all control members once per second while callers offer work. */
export interface ModelDemandCast {
    kind: "modelDemand";
    items: DemandItem[];
    /** Time in which the work was offered, in milliseconds. */
    intervalMs: number;
}

/** Sent by the leader to gateways once per second while callers offer work. All gateways' work, per second. */
export interface DemandTotalsCast {
    kind: "demandTotals";
    items: DemandItem[];
}
