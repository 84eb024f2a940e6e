import {
    type CrashFact,
    type DepartureFact,
    type EndpointFact,
    EngineGroupState,
    type EngineStatus,
    type HeartbeatFact,
    type ObservationFact,
} from "@kumquathall/types";

export interface EndpointRegistryOptions {
    /** An endpoint that nobody has heard of for this long is dropped, in milliseconds. */
    expireAfterMs: number;
}

/** One incarnation of an endpoint, as all facts together show it. */
export interface EndpointView {
    id: string;
    service: string;
    address: string;
    dataCentre: string;
    slots: number;
    bornMs: number;
    isLeaving: boolean;
    /** Its sidecar finds nobody at its address, or another incarnation is there. */
    isLost: boolean;
    /** Newest engine state, from the sidecar if there is one. */
    engine: EngineStatus | undefined;
    /** Local monotonic time of the newest fact that shows it alive. */
    lastSeenAt: number;
    /** Local monotonic time at which the engine state arrived. */
    engineReportedAt: number;
    /** A sidecar reports on it. */
    isObserved: boolean;
    /** Name of the last group that it was seen to have joined since its start, whether it still belongs to it or not. */
    lastGroupName: string | undefined;
}

interface Timed<Fact> {
    fact: Fact;
    at: number;
}

type TimedObservation = Timed<ObservationFact> & { lastGroupName: string | undefined };

/** A sidecar reports at least every second; after this silence any report counts, in milliseconds. */
const OBSERVER_SILENCE_MS = 3000;

/** Holds the newest fact of each kind. Times are monotonic milliseconds of the process that holds it. */
export class EndpointRegistry {
    private readonly heartbeats = new Map<string, Timed<HeartbeatFact>>();
    private readonly departures = new Map<string, Timed<DepartureFact>>();
    /** Endpoints that ended under a request, by its fingerprint. */
    private readonly crashes = new Map<string, Timed<Set<string>>>();
    /** By address. */
    private readonly observations = new Map<string, TimedObservation>();

    constructor(private readonly options: EndpointRegistryOptions) {}

    /** Records a fact; returns whether it is news, and so worth passing on. */
    record(fact: EndpointFact, now: number): boolean {
        switch (fact.kind) {
            case "heartbeat":
                return this.recordHeartbeat(fact, now);
            case "departure":
                return this.recordDeparture(fact, now);
            case "observation":
                return this.recordObservation(fact, now);
            case "crash":
                return this.recordCrash(fact, now);
        }
    }

    /** Start of the newest incarnation heard under an id; 0 if none was. */
    getBornMs(id: string): number {
        return this.heartbeats.get(id)?.fact.bornMs ?? 0;
    }

    /** Newest observation at an address. */
    getObservation(address: string): ObservationFact | undefined {
        return this.observations.get(address)?.fact;
    }

    /** How many endpoints have ended while they ran the request with this fingerprint. */
    countCrashes(fingerprint: string): number {
        return this.crashes.get(fingerprint)?.fact.size ?? 0;
    }

    /** Whether any request is known to have been there when an endpoint ended. */
    hasCrashes(): boolean {
        return this.crashes.size > 0;
    }

    /** Everything held, for a process that starts to listen. */
    listFacts(): EndpointFact[] {
        return [
            ...[...this.departures.values()].map(item => item.fact),
            ...[...this.heartbeats.values()].map(item => item.fact),
            ...[...this.observations.values()].map(item => item.fact),
            ...[...this.crashes].flatMap(([fingerprint, { fact }]) =>
                [...fact].map(endpoint => ({ kind: "crash" as const, fingerprint, endpoint }))
            ),
        ];
    }

    /** All endpoints heard of, those included that are lost, replaced at their address, or leaving. */
    listViews(): EndpointView[] {
        const newest = this.findNewestByAddress();
        return [...this.heartbeats.values()].map(item => {
            return this.buildView(item, newest.get(item.fact.address) !== item);
        });
    }

    /** Drops what has not been heard of for long; returns the ids of the endpoints that are forgotten. */
    expire(now: number): string[] {
        const forgotten = [...this.heartbeats].flatMap(([id, item]) =>
            now - item.at > this.options.expireAfterMs ? [id] : []
        );
        for (const facts of [this.heartbeats, this.departures, this.observations, this.crashes]) {
            for (const [key, item] of facts) {
                if (now - item.at > this.options.expireAfterMs) {
                    facts.delete(key);
                }
            }
        }
        return forgotten;
    }

    private recordHeartbeat(fact: HeartbeatFact, now: number): boolean {
        const known = this.heartbeats.get(fact.id)?.fact;
        const isOlder = known !== undefined
            && (fact.bornMs < known.bornMs || (fact.bornMs === known.bornMs && fact.sequence <= known.sequence));
        if (isOlder) {
            return false;
        }
        // A departed incarnation is recorded too: it shows that older ones at its address are gone. A delayed heartbeat may lack what a newer one said: leaving is final for an incarnation.
        const isLeaving = fact.isLeaving || (known?.bornMs === fact.bornMs && known.isLeaving);
        this.heartbeats.set(fact.id, { fact: { ...fact, isLeaving }, at: now });
        return true;
    }

    private recordDeparture(fact: DepartureFact, now: number): boolean {
        const known = this.departures.get(fact.id);
        if (known !== undefined && known.fact.bornMs >= fact.bornMs) {
            return false;
        }
        this.departures.set(fact.id, { fact, at: now });
        return true;
    }

    private recordObservation(fact: ObservationFact, now: number): boolean {
        const held = this.observations.get(fact.address);
        const known = held?.fact;
        const isOlder = known !== undefined && (fact.observerStartedMs < known.observerStartedMs
            || (fact.observerStartedMs === known.observerStartedMs && fact.number <= known.number));
        // A sidecar whose clock was set back between two starts must not stay unheard.
        const isStale = held !== undefined && now - held.at > OBSERVER_SILENCE_MS;
        if (isOlder && !isStale) {
            return false;
        }
        const former = held?.fact.bornMs === fact.bornMs ? held.lastGroupName : undefined;
        this.observations.set(fact.address, { fact, at: now, lastGroupName: findJoinedGroup(fact) ?? former });
        return true;
    }

    private recordCrash(fact: CrashFact, now: number): boolean {
        const known = this.crashes.get(fact.fingerprint)?.fact ?? new Set<string>();
        const isNews = !known.has(fact.endpoint);
        if (isNews) {
            this.crashes.set(fact.fingerprint, { fact: known.add(fact.endpoint), at: now });
        }
        return isNews;
    }

    private hasDeparted(fact: HeartbeatFact): boolean {
        const departure = this.departures.get(fact.id);
        return departure !== undefined && departure.fact.bornMs >= fact.bornMs;
    }

    /** Addresses are used again: only the incarnation that was born last is at an address. */
    private findNewestByAddress(): Map<string, Timed<HeartbeatFact>> {
        const newest = new Map<string, Timed<HeartbeatFact>>();
        for (const item of this.heartbeats.values()) {
            const other = newest.get(item.fact.address);
            if (other === undefined || isBornLater(item.fact, other.fact)) {
                newest.set(item.fact.address, item);
            }
        }
        return newest;
    }

    /** A departed endpoint takes nothing new, and still ends what it runs: only its sidecar or its address tells that it has ended. */
    private buildView(item: Timed<HeartbeatFact>, isAddressTaken: boolean): EndpointView {
        const { fact, at } = item;
        const observation = this.observations.get(fact.address);
        const isSame = observation?.fact.bornMs === fact.bornMs;
        const isObservedAlive = observation !== undefined && isSame && observation.fact.isReachable;
        const isReplaced = observation !== undefined && observation.fact.bornMs > fact.bornMs;
        const isUnreachable = observation !== undefined && isSame && !observation.fact.isReachable;
        const isFresher = isObservedAlive && observation.fact.engine !== undefined;
        return {
            id: fact.id,
            service: fact.service,
            address: fact.address,
            dataCentre: fact.dataCentre,
            slots: fact.slots,
            bornMs: fact.bornMs,
            isLeaving: fact.isLeaving || this.hasDeparted(fact),
            isLost: isAddressTaken || isReplaced || isUnreachable,
            engine: isSame && observation.fact.engine !== undefined ? observation.fact.engine : fact.engine,
            lastSeenAt: Math.max(at, isObservedAlive ? observation.at : 0),
            engineReportedAt: isFresher ? observation.at : at,
            isObserved: isSame,
            lastGroupName: isSame ? observation.lastGroupName : undefined,
        };
    }
}

function findJoinedGroup(fact: ObservationFact): string | undefined {
    const group = fact.engine?.group;
    return group === undefined || group.state === EngineGroupState.Joining ? undefined : group.name;
}

/** Two incarnations born in the same millisecond are told apart by id, so that all processes choose the same. */
function isBornLater(left: HeartbeatFact, right: HeartbeatFact): boolean {
    return left.bornMs === right.bornMs ? left.id > right.id : left.bornMs > right.bornMs;
}
