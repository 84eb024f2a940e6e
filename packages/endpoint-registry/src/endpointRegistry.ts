import {
    type DepartureFact,
    type EndpointFact,
    EngineGroupState,
    type EngineStatus,
    type HeartbeatFact,
    type ObservationFact,
} from "@kumquathall/types";
import { isColdTimeChanged } from "./isColdTimeChanged.js";

export interface EndpointRegistryOptions {
    /** Time after which a fact expires unless a newer one has replaced it, in milliseconds. */
    expireAfterMs: number;
    /** Time without observations of an address after which any observation is accepted, in milliseconds. */
    observerTimeoutMs?: number;
    /** Most ids that are known at a time. */
    maxEndpoints?: number;
}

/** What a fact changes, from nothing to which endpoints serve. */
export const FactEffect = {
    /** It is older than what is known. */
    None: "none",
    /** It shows only that the endpoint is still there. */
    Refresh: "refresh",
    /** At most the load or the pace of the endpoint differs. */
    Load: "load",
    State: "state",
} as const;
export type FactEffectValue = (typeof FactEffect)[keyof typeof FactEffect];

/** One incarnation of an endpoint, derived from all facts about it. */
export interface EndpointView {
    id: string;
    service: string;
    address: string;
    dataCentre: string;
    slots: number;
    bornMs: number;
    /** The endpoint has announced that it is leaving, or it has departed. */
    isLeaving: boolean;
    /** The sidecar does not reach the endpoint, or a newer incarnation uses its address. */
    isLost: boolean;
    /** It counts as lost only because another incarnation announces its address. Requests that it runs may complete. */
    isLossAnnounced: boolean;
    /** The sidecar beside the endpoint has run on while the endpoint's process ended, so that the VM was not lost. */
    hasProcessEnded: boolean;
    /** Engine state from the sidecar's newest observation if there is one, otherwise from the newest heartbeat. */
    engine: EngineStatus | undefined;
    /** Local monotonic time of the newest fact that shows the endpoint alive. */
    lastSeenAt: number;
    /** Local monotonic time at which the newest heartbeat was received. */
    heartbeatAt: number;
    /** Local monotonic time until which the newest reports say that the endpoint is cold; not set if none has. */
    coldUntil?: number;
    /** Local monotonic time at which the engine state was received. */
    engineReportedAt: number;
    /** A sidecar reports observations of this incarnation. */
    isObserved: boolean;
    /** Name of the last group that the engine joined since its start, even if it has left that group. */
    lastGroupName: string | undefined;
}

interface Timed<Fact> {
    fact: Fact;
    /** Local monotonic time at which the fact was received. */
    at: number;
}

/** The newest heartbeat of an id. */
type TimedHeartbeat = Timed<HeartbeatFact> & {
    /** Newest heartbeat of the incarnation that this one has replaced. */
    former?: Timed<HeartbeatFact>;
    /** Start of an incarnation that announced itself under the id and fell silent while this one went on. */
    refutedBornMs?: number;
};

type TimedObservation = Timed<ObservationFact> & {
    lastGroupName: string | undefined;
    /** The incarnation that was observed before this one, and the start of the sidecar that observed it. */
    former: { bornMs: number; observerStartedMs: number } | undefined;
};

/** A sidecar sends an observation at least every second. */
const DEFAULT_OBSERVER_TIMEOUT_MS = 3000;
/**
 * An announcement of an address that is in use is believed unless the incarnation there outlives it for this long, in
 * milliseconds: a few heartbeats.
 */
const TAKE_OVER_MS = 3000;

/**
 * Ids that are known at a time: twice the 12,000 endpoints of the largest deployment, since each may have started again
 * under a new id before its former one is forgotten.
 */
const DEFAULT_MAX_ENDPOINTS = 24_000;
/** Where ids are too many, those without a heartbeat for this long make room, in milliseconds: five heartbeats. */
const SILENT_MS = 6000;
/** Interval between searches for ids that make room, in milliseconds. */
const MAKE_ROOM_INTERVAL_MS = 1000;

/** Stores the newest fact of each kind per endpoint. Times are monotonic milliseconds of the local process. */
export class EndpointRegistry {
    private readonly heartbeats = new Map<string, TimedHeartbeat>();
    private readonly departures = new Map<string, Timed<DepartureFact>>();
    /** Newest observations, by address. */
    private readonly observations = new Map<string, TimedObservation>();
    /** Id of the newest incarnation at each address; `undefined` until it is needed again after a change. */
    private newestIds: Map<string, string> | undefined;
    /** When ids that make room were last searched for. */
    private madeRoomAt = Number.NEGATIVE_INFINITY;
    /** Ids that have made room since the latest call of `expire`. */
    private madeRoom: string[] = [];

    constructor(private readonly options: EndpointRegistryOptions) {}

    /**
     * Returns whether a fact about an endpoint may be recorded: the endpoint is known, or ids are not too many. Forgets ids
     * that have fallen silent if they are, so that entries of other writers don't keep sound endpoints out.
     */
    admit(fact: EndpointFact, now: number): boolean {
        if (fact.kind === "observation" || this.heartbeats.has(fact.id)) {
            return true;
        }
        const { maxEndpoints = DEFAULT_MAX_ENDPOINTS } = this.options;
        const known = fact.kind === "heartbeat" ? this.heartbeats : this.departures;
        const isSearched = now - this.madeRoomAt < MAKE_ROOM_INTERVAL_MS;
        if (known.size >= maxEndpoints && !isSearched) {
            this.madeRoomAt = now;
            this.madeRoom.push(...this.removeSilent(now - SILENT_MS, () => false));
        }
        return known.size < maxEndpoints;
    }

    /** Removes what is known of endpoints that were last seen before a time, unless `mustKeep`; returns their ids. */
    removeSilent(before: number, mustKeep: (view: EndpointView) => boolean): string[] {
        const ids = this.listViews().flatMap(view => view.lastSeenAt < before && !mustKeep(view) ? [view.id] : []);
        ids.forEach(id => this.heartbeats.delete(id));
        this.newestIds = ids.length > 0 ? undefined : this.newestIds;
        for (const facts of [this.departures, this.observations]) {
            for (const [key, item] of facts) {
                if (item.at < before && !this.isNeeded(item.fact)) {
                    facts.delete(key);
                }
            }
        }
        return ids;
    }

    /** Records a fact; returns what it changes. */
    record(fact: EndpointFact, now: number): FactEffectValue {
        switch (fact.kind) {
            case "heartbeat":
                return this.recordHeartbeat(fact, now);
            case "departure":
                return this.recordDeparture(fact, now);
            case "observation":
                return this.recordObservation(fact, now);
        }
    }

    /** Start time of the newest known incarnation of an endpoint; 0 if the id is unknown. */
    getBornMs(id: string): number {
        return this.heartbeats.get(id)?.fact.bornMs ?? 0;
    }

    /** Whether an incarnation, as its id and start time (`ID@MS`), is the newest known one of its id. */
    hasIncarnation(key: string): boolean {
        const at = key.lastIndexOf("@");
        return this.heartbeats.get(key.slice(0, at))?.fact.bornMs === Number(key.slice(at + 1));
    }

    /** Newest observation of an address. */
    getObservation(address: string): ObservationFact | undefined {
        return this.observations.get(address)?.fact;
    }

    /** Lists all stored facts, for a new subscriber. */
    listFacts(): EndpointFact[] {
        return [
            ...[...this.departures.values()].map(item => item.fact),
            ...[...this.heartbeats.values()].map(item => item.fact),
            ...[...this.observations.values()].map(item => item.fact),
        ];
    }

    /** Lists all known endpoints, including those that are lost, replaced at their address or leaving. */
    listViews(): EndpointView[] {
        return [...this.heartbeats.values()].map(item => this.buildView(item));
    }

    /**
     * Lists the incarnations that another one has replaced under their id. They get no new requests; what they run may
     * complete, since the announcement may be wrong.
     */
    listFormerViews(): EndpointView[] {
        return [...this.heartbeats.values()].flatMap(({ former }) => {
            if (former === undefined) {
                return [];
            }
            const view = this.buildView(former);
            return [{ ...view, isLost: true, isLossAnnounced: view.isLossAnnounced || !view.isLost }];
        });
    }

    /** Finds the newest incarnation at an address. */
    findView(address: string): EndpointView | undefined {
        const item = this.heartbeats.get(this.getNewestIds().get(address) ?? "");
        return item === undefined ? undefined : this.buildView(item);
    }

    /** Removes expired facts; returns the ids of the endpoints that are no longer known since the latest call. */
    expire(now: number): string[] {
        const expiredIds = [...this.heartbeats].flatMap(([id, item]) =>
            now - item.at > this.options.expireAfterMs ? [id] : []
        );
        for (const facts of [this.heartbeats, this.departures, this.observations]) {
            for (const [key, item] of facts) {
                if (now - item.at > this.options.expireAfterMs && !this.mustKeepDeparture(item.fact)) {
                    facts.delete(key);
                }
            }
        }
        if (expiredIds.length > 0) {
            this.newestIds = undefined;
        }
        const removedIds = [...expiredIds, ...this.madeRoom.filter(id => !this.heartbeats.has(id))];
        this.madeRoom = [];
        return removedIds;
    }

    /** Whether a fact says something of an endpoint that is known. */
    private isNeeded(fact: EndpointFact): boolean {
        return fact.kind === "observation" ? this.getNewestIds().has(fact.address) : this.heartbeats.has(fact.id);
    }

    /** An incarnation that sends heartbeats on after its departure is still leaving. */
    private mustKeepDeparture(fact: EndpointFact): boolean {
        return fact.kind === "departure" && (this.heartbeats.get(fact.id)?.fact.bornMs ?? Infinity) <= fact.bornMs;
    }

    private recordHeartbeat(fact: HeartbeatFact, now: number): FactEffectValue {
        const item = this.heartbeats.get(fact.id);
        const known = item?.fact;
        if (item !== undefined && fact.bornMs < item.fact.bornMs) {
            return this.recordFormer(item, fact, now);
        }
        const isRefuted = item?.refutedBornMs === fact.bornMs && now - item.at <= TAKE_OVER_MS;
        if (isRefuted || (known?.bornMs === fact.bornMs && fact.sequence <= known.sequence)) {
            return FactEffect.None;
        }
        // Heartbeats of departed incarnations are recorded too, because they show that older incarnations at the
        // address are lost. Leaving is final for an incarnation: a heartbeat with `isLeaving` false does not revoke it.
        const isLeaving = fact.isLeaving || (known?.bornMs === fact.bornMs && known.isLeaving);
        const wasTaken = this.isAddressTaken(fact.id);
        const former = known?.bornMs === fact.bornMs ? item?.former : item;
        this.heartbeats.set(fact.id, {
            fact: { ...fact, isLeaving },
            at: now,
            former: former === undefined ? undefined : { fact: former.fact, at: former.at },
            refutedBornMs: known?.bornMs === fact.bornMs ? item?.refutedBornMs : undefined,
        });
        if (known?.bornMs !== fact.bornMs || known.address !== fact.address) {
            this.newestIds = undefined;
        }
        const isTakenChanged = this.isAddressTaken(fact.id) !== wasTaken;
        if (known === undefined || isTakenChanged || !isSameAnnouncement(known, { ...fact, isLeaving })) {
            return FactEffect.State;
        }
        const coldEffect = compareColdTimes(known.coldMs, fact.coldMs);
        // Once a sidecar has observed the engine, its state is known from there.
        const observed = this.observations.get(fact.address)?.fact;
        return observed?.bornMs === fact.bornMs && observed.engine !== undefined
            ? coldEffect
            : chooseLarger(coldEffect, compareEngines(known.engine, fact.engine));
    }

    /**
     * Records a heartbeat of an incarnation that another one has replaced under its id. One announcement proves nothing: if
     * the heartbeats of the former outlive those of the newer, the former is the one that runs.
     */
    private recordFormer(item: TimedHeartbeat, fact: HeartbeatFact, now: number): FactEffectValue {
        const { former } = item;
        const isOlder = former !== undefined && (fact.bornMs < former.fact.bornMs
            || (fact.bornMs === former.fact.bornMs && fact.sequence <= former.fact.sequence));
        if (isOlder) {
            return FactEffect.None;
        }
        const isLeaving = fact.isLeaving || (former?.fact.bornMs === fact.bornMs && former.fact.isLeaving);
        const received = { fact: { ...fact, isLeaving }, at: now };
        if (former === undefined || now <= item.at + TAKE_OVER_MS) {
            item.former = received;
            return FactEffect.None;
        }
        this.heartbeats.set(fact.id, { ...received, refutedBornMs: item.fact.bornMs });
        this.newestIds = undefined;
        return FactEffect.State;
    }

    private recordDeparture(fact: DepartureFact, now: number): FactEffectValue {
        const known = this.departures.get(fact.id);
        if (known !== undefined && known.fact.bornMs >= fact.bornMs) {
            return FactEffect.None;
        }
        this.departures.set(fact.id, { fact, at: now });
        return FactEffect.State;
    }

    private recordObservation(fact: ObservationFact, now: number): FactEffectValue {
        const previous = this.observations.get(fact.address);
        const known = previous?.fact;
        const isOlder = known !== undefined && (fact.observerStartedMs < known.observerStartedMs
            || (fact.observerStartedMs === known.observerStartedMs && fact.number <= known.number));
        // A sidecar whose clock was set back before a restart must not have all its observations rejected as older.
        const { observerTimeoutMs = DEFAULT_OBSERVER_TIMEOUT_MS } = this.options;
        const hasTimedOut = previous !== undefined && now - previous.at > observerTimeoutMs;
        if (isOlder && !hasTimedOut) {
            return FactEffect.None;
        }
        const previousGroupName = previous?.fact.bornMs === fact.bornMs ? previous.lastGroupName : undefined;
        this.observations.set(fact.address, {
            fact,
            at: now,
            lastGroupName: findJoinedGroup(fact) ?? previousGroupName,
            former: findFormerIncarnation(previous, fact),
        });
        // The announced incarnation and the observed one differ: which of them holds the address may change with time.
        const announced = this.heartbeats.get(this.getNewestIds().get(fact.address) ?? "")?.fact;
        const isDisputed = announced !== undefined && announced.bornMs !== fact.bornMs;
        return isDisputed ? FactEffect.State : compareObservations(known, fact);
    }

    private hasDeparted(fact: HeartbeatFact): boolean {
        const departure = this.departures.get(fact.id);
        return departure !== undefined && departure.fact.bornMs >= fact.bornMs;
    }

    /**
     * Whether another incarnation holds the address of the one that an id has announced. That one holds it while a sidecar
     * observes it there, or if its heartbeats outlive those of the other: one announcement proves nothing.
     */
    private isAddressTaken(id: string): boolean {
        const item = this.heartbeats.get(id);
        const newestId = item === undefined ? undefined : this.getNewestIds().get(item.fact.address);
        const newest = newestId === undefined ? undefined : this.heartbeats.get(newestId);
        if (item === undefined || newest === undefined || newestId === id) {
            return false;
        }
        const observation = this.observations.get(item.fact.address);
        const isObservedAlive = observation?.fact.bornMs === item.fact.bornMs && observation.fact.isReachable;
        return isObservedAlive ? newest.at > observation.at + TAKE_OVER_MS : item.at <= newest.at + TAKE_OVER_MS;
    }

    /** Finds the newest incarnation at each address. Addresses are reused, and older incarnations there are lost. */
    private getNewestIds(): Map<string, string> {
        if (this.newestIds !== undefined) {
            return this.newestIds;
        }
        const newest = new Map<string, HeartbeatFact>();
        for (const { fact } of this.heartbeats.values()) {
            const other = newest.get(fact.address);
            if (other === undefined || isNewerIncarnation(fact, other)) {
                newest.set(fact.address, fact);
            }
        }
        this.newestIds = new Map([...newest].map(([address, { id }]) => [address, id]));
        return this.newestIds;
    }

    /**
     * Builds the view of an endpoint. A departed endpoint receives no new requests but completes those that it runs, so
     * it counts as lost only if its sidecar no longer reaches it or its address is reused.
     */
    private buildView(item: Timed<HeartbeatFact>): EndpointView {
        const { fact, at } = item;
        const isAddressTaken = this.isAddressTaken(fact.id);
        const observation = this.observations.get(fact.address);
        const isSameIncarnation = observation?.fact.bornMs === fact.bornMs;
        const isObservedAlive = observation !== undefined && isSameIncarnation && observation.fact.isReachable;
        const isReplaced = observation !== undefined && observation.fact.bornMs > fact.bornMs;
        const isUnreachable = observation !== undefined && isSameIncarnation && !observation.fact.isReachable;
        const isSameObserver = observation?.former?.bornMs === fact.bornMs
            && observation.former.observerStartedMs === observation.fact.observerStartedMs;
        const hasObservedEngine = isObservedAlive && observation.fact.engine !== undefined;
        return {
            id: fact.id,
            service: fact.service,
            address: fact.address,
            dataCentre: fact.dataCentre,
            slots: fact.slots,
            bornMs: fact.bornMs,
            isLeaving: fact.isLeaving || this.hasDeparted(fact),
            isLost: isAddressTaken || isReplaced || isUnreachable,
            isLossAnnounced: isAddressTaken && !isReplaced && !isUnreachable,
            hasProcessEnded: isUnreachable || (isReplaced && isSameObserver),
            engine: isSameIncarnation && observation.fact.engine !== undefined ? observation.fact.engine : fact.engine,
            lastSeenAt: Math.max(at, isObservedAlive ? observation.at : 0),
            heartbeatAt: at,
            coldUntil: findColdEnd([item, ...(isSameIncarnation ? [observation] : [])]),
            engineReportedAt: hasObservedEngine ? observation.at : at,
            isObserved: isSameIncarnation,
            lastGroupName: isSameIncarnation ? observation.lastGroupName : undefined,
        };
    }
}

/** Finds the newest incarnation that was observed before the one of `fact`; 0 stands for none. */
function findFormerIncarnation(
    previous: TimedObservation | undefined,
    fact: ObservationFact,
): TimedObservation["former"] {
    if (previous === undefined || previous.fact.bornMs === fact.bornMs || previous.fact.bornMs === 0) {
        return previous?.former;
    }
    const { bornMs, observerStartedMs } = previous.fact;
    return { bornMs, observerStartedMs };
}

/** Whether two heartbeats of an endpoint agree in all but their number and the engine's state. */
function isSameAnnouncement(left: HeartbeatFact, right: HeartbeatFact): boolean {
    return left.bornMs === right.bornMs && left.isLeaving === right.isLeaving && left.address === right.address
        && left.service === right.service && left.slots === right.slots && left.dataCentre === right.dataCentre;
}

function compareObservations(known: ObservationFact | undefined, fact: ObservationFact): FactEffectValue {
    const isSame = known !== undefined && known.bornMs === fact.bornMs && known.isReachable === fact.isReachable
        && known.observerStartedMs === fact.observerStartedMs;
    return isSame
        ? chooseLarger(compareColdTimes(known.coldMs, fact.coldMs), compareEngines(known.engine, fact.engine))
        : FactEffect.State;
}

/** A cold time that begins, is renewed or ends changes what the endpoint may be sent; one that runs down is load. */
function compareColdTimes(known = 0, coldMs = 0): FactEffectValue {
    if (isColdTimeChanged(known, coldMs)) {
        return FactEffect.State;
    }
    return coldMs > 0 ? FactEffect.Load : FactEffect.Refresh;
}

function chooseLarger(left: FactEffectValue, right: FactEffectValue): FactEffectValue {
    const effects = Object.values(FactEffect);
    return effects.indexOf(left) > effects.indexOf(right) ? left : right;
}

/** Finds the end of the cold time that the newest reports name, in local monotonic milliseconds. */
function findColdEnd(reports: Timed<{ coldMs?: number }>[]): number | undefined {
    const ends = reports.flatMap(({ at, fact: { coldMs = 0 } }) => coldMs > 0 ? [at + coldMs] : []);
    return ends.length === 0 ? undefined : Math.max(...ends);
}

function compareEngines(known: EngineStatus | undefined, engine: EngineStatus | undefined): FactEffectValue {
    if (known === undefined || engine === undefined) {
        return known === engine ? FactEffect.Refresh : FactEffect.State;
    }
    const isSameState = known.isBusy === engine.isBusy && Object.is(known.orderSequence, engine.orderSequence)
        && known.fabricDomain === engine.fabricDomain && isSameMembership(known.group, engine.group)
        && isSameList(known.models, engine.models) && isSameList(known.staged, engine.staged);
    if (!isSameState) {
        return FactEffect.State;
    }
    const isSameLoad = known.running === engine.running && known.waiting === engine.waiting
        && known.kvUsedTokens === engine.kvUsedTokens && known.kvTotalTokens === engine.kvTotalTokens
        && known.pace === engine.pace;
    return isSameLoad ? FactEffect.Refresh : FactEffect.Load;
}

function isSameMembership(left: EngineStatus["group"], right: EngineStatus["group"]): boolean {
    return left?.name === right?.name && left?.epoch === right?.epoch && left?.rank === right?.rank
        && left?.state === right?.state;
}

function isSameList(left: string[], right: string[]): boolean {
    return left.length === right.length && left.every((item, at) => item === right[at]);
}

function findJoinedGroup(fact: ObservationFact): string | undefined {
    const group = fact.engine?.group;
    return group === undefined || group.state === EngineGroupState.Joining ? undefined : group.name;
}

/** Orders incarnations by start time, then by id, so that all processes choose the same one. */
function isNewerIncarnation(left: HeartbeatFact, right: HeartbeatFact): boolean {
    return left.bornMs === right.bornMs ? left.id > right.id : left.bornMs > right.bornMs;
}
