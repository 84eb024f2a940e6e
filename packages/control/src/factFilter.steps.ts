import { Given, Then, When } from "@cucumber/cucumber";
import { EndpointRegistry, type FactEffectValue } from "@kumquathall/endpoint-registry";
import { EngineGroupState, type EngineStatus, type HeartbeatFact, type ObservationFact } from "@kumquathall/types";
import { strictEqual } from "node:assert";
import { FactFilter } from "./factFilter.js";

const FORGET_AFTER_MS = 60_000;

let filter: FactFilter;
let registry: EndpointRegistry;
let observation: ObservationFact;
let heartbeat: HeartbeatFact;
let now = 0;
let isForwarded = false;
let isExchanged = false;

function buildStatus(rank: number | undefined): EngineStatus {
    return {
        orderSequence: 2,
        isBusy: false,
        running: 1,
        waiting: 0,
        kvUsedTokens: 0,
        kvTotalTokens: 0,
        pace: 1,
        models: ["m"],
        staged: ["m"],
        fabricDomain: "f",
        group: rank === undefined
            ? undefined
            : { name: "r-2-m", epoch: 7, rank, state: rank === 0 ? EngineGroupState.Open : EngineGroupState.Ready },
    };
}

const RANKS: Record<string, number | undefined> = {
    "heads an open group": 0,
    "is a member of a group": 1,
    "is in no group": undefined,
};

const OBSERVATION_CHANGES: Record<string, (fact: ObservationFact, engine: EngineStatus) => ObservationFact> = {
    "is the same": fact => fact,
    "differs in load": (fact, engine) => ({ ...fact, engine: { ...engine, running: 9, kvUsedTokens: 50 } }),
    "differs in pace": (fact, engine) => ({ ...fact, engine: { ...engine, pace: 4 } }),
    "differs in what its host holds": (fact, engine) => ({ ...fact, engine: { ...engine, staged: ["m", "n"] } }),
    "says that it is cold": fact => ({ ...fact, coldMs: 2500 }),
    "says that it is lost": fact => ({ ...fact, isReachable: false }),
    "shows another incarnation": fact => ({ ...fact, bornMs: fact.bornMs + 1 }),
    "is of another sidecar process": fact => ({ ...fact, observerStartedMs: fact.observerStartedMs + 1 }),
    "shows another group": (fact, engine) => ({
        ...fact,
        engine: { ...engine, group: { name: "r-2-m", epoch: 8, rank: 1, state: EngineGroupState.Joining } },
    }),
};

const HEARTBEAT_CHANGES: Record<string, (fact: HeartbeatFact) => HeartbeatFact> = {
    "is the same": fact => fact,
    "says that it is cold": fact => ({ ...fact, coldMs: 2500 }),
    "says that it is leaving": fact => ({ ...fact, isLeaving: true }),
    "shows another incarnation": fact => ({ ...fact, bornMs: fact.bornMs + 1 }),
};

function recordObservation(fact: ObservationFact): void {
    const before = registry.getObservation(fact.address);
    const effect: FactEffectValue = registry.record(fact, now);
    isForwarded = filter.mustForward(fact, before, effect, now);
}

function recordHeartbeat(fact: HeartbeatFact): void {
    const effect = registry.record(fact, now);
    isForwarded = filter.mustForward(fact, undefined, effect, now);
    isExchanged = filter.mustExchange(fact, effect, now);
}

function reset(): void {
    filter = new FactFilter();
    registry = new EndpointRegistry({ expireAfterMs: FORGET_AFTER_MS });
    now = 0;
    observation = {
        kind: "observation",
        address: "h:1",
        observerStartedMs: 1,
        number: 1,
        isReachable: true,
        bornMs: 1,
        engine: undefined,
    };
    heartbeat = {
        kind: "heartbeat",
        id: "e",
        service: "s",
        address: "h:1",
        dataCentre: "d",
        slots: 4,
        isLeaving: false,
        bornMs: 1,
        sequence: 1,
        engine: undefined,
    };
}

Given(/^an engine that (.+) and was observed (\d+) ms ago$/, (role: string, since: string) => {
    reset();
    observation = { ...observation, engine: buildStatus(RANKS[role]) };
    recordObservation(observation);
    now = Number(since);
});

When(/^its next observation (.+)$/, (change: string) => {
    const next = OBSERVATION_CHANGES[change](observation, observation.engine!);
    recordObservation({ ...next, number: observation.number + 1 });
});

Given(/^(an engine|a plain endpoint) with a heartbeat (\d+) ms ago$/, (endpoint: string, since: string) => {
    reset();
    if (endpoint === "an engine") {
        recordObservation({ ...observation, engine: buildStatus(undefined) });
        heartbeat = { ...heartbeat, engine: buildStatus(undefined) };
    }
    recordHeartbeat(heartbeat);
    now = Number(since);
});

When(/^its next heartbeat (.+)$/, (change: string) => {
    recordHeartbeat({ ...HEARTBEAT_CHANGES[change](heartbeat), sequence: heartbeat.sequence + 1 });
});

Then("it is forwarded to gateways: {word}", (expected: string) => strictEqual(isForwarded ? "yes" : "no", expected));

Then("it is sent to other members: {word}", (expected: string) => strictEqual(isExchanged ? "yes" : "no", expected));

Then("it is sent to gateways: {word}", (expected: string) => strictEqual(isForwarded ? "yes" : "no", expected));

When("a member links anew", () => filter.restartExchange());
