import { FactEffect, type FactEffectValue, isColdTimeChanged } from "@kumquathall/endpoint-registry";
import { type EndpointFact, EngineGroupState, type HeartbeatFact, type ObservationFact } from "@kumquathall/types";

/** Interval at which observations that change nothing for gateways are forwarded, in milliseconds. */
const QUIET_FORWARD_MS = 5000;
/** Interval at which unchanged heartbeats of engines are sent to other members, which forget endpoints without any. */
const QUIET_EXCHANGE_MS = 5000;

/** Decides which facts about endpoints gateways and other control members need. Times are monotonic milliseconds. */
export class FactFilter {
    /** When an observation was last forwarded to gateways, by address. */
    private readonly forwardedAt = new Map<string, number>();
    /** When a heartbeat was last sent to other members, by endpoint id. */
    private readonly exchangedAt = new Map<string, number>();

    /**
     * Whether gateways need a fact. They need to know which endpoints serve, the load of heads and the pace of members;
     * `before` is the former observation of the same address.
     */
    mustForward(
        fact: EndpointFact,
        before: ObservationFact | undefined,
        effect: FactEffectValue,
        now: number,
    ): boolean {
        switch (fact.kind) {
            case "departure":
                return true;
            case "heartbeat":
                return effect !== FactEffect.Refresh || fact.engine === undefined;
            case "observation":
                return this.mustForwardObservation(fact, before, now);
        }
    }

    /** Whether other members need a heartbeat. */
    mustExchange(fact: HeartbeatFact, effect: FactEffectValue, now: number): boolean {
        const lastAt = this.exchangedAt.get(fact.id) ?? Number.NEGATIVE_INFINITY;
        if (effect === FactEffect.Refresh && fact.engine !== undefined && now - lastAt < QUIET_EXCHANGE_MS) {
            return false;
        }
        this.exchangedAt.set(fact.id, now);
        return true;
    }

    /** Sends each endpoint's next heartbeat to other members, one of which has linked anew and may know none. */
    restartExchange(): void {
        this.exchangedAt.clear();
    }

    /** Removes what is kept of endpoints that no longer exist. */
    removeStale(ids: string[], now: number): void {
        ids.forEach(id => this.exchangedAt.delete(id));
        for (const [address, at] of this.forwardedAt) {
            if (now - at > 2 * QUIET_FORWARD_MS) {
                this.forwardedAt.delete(address);
            }
        }
    }

    private mustForwardObservation(fact: ObservationFact, before: ObservationFact | undefined, now: number): boolean {
        const lastAt = this.forwardedAt.get(fact.address) ?? Number.NEGATIVE_INFINITY;
        const isQuiet = hasOnlyLoadChange(before, fact) && !isOpenHead(fact)
            && before?.engine?.pace === fact.engine?.pace;
        if (isQuiet && now - lastAt < QUIET_FORWARD_MS) {
            return false;
        }
        this.forwardedAt.set(fact.address, now);
        return true;
    }
}

/** Whether two observations agree on reachability, incarnation, cold and group state, so that at most the load differs. */
export function hasOnlyLoadChange(left: ObservationFact | undefined, right: ObservationFact): boolean {
    const leftGroup = left?.engine?.group;
    const rightGroup = right.engine?.group;
    return left !== undefined && left.isReachable === right.isReachable && left.bornMs === right.bornMs
        && left.observerStartedMs === right.observerStartedMs && !isColdTimeChanged(left.coldMs, right.coldMs)
        && leftGroup?.name === rightGroup?.name
        && leftGroup?.epoch === rightGroup?.epoch && leftGroup?.rank === rightGroup?.rank
        && leftGroup?.state === rightGroup?.state;
}

function isOpenHead({ engine }: ObservationFact): boolean {
    return engine?.group?.rank === 0 && engine.group.state === EngineGroupState.Open;
}
