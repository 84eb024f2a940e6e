import type { EndpointFact, EngineStatus } from "@kumquathall/types";

/** Copies the fields of a fact that are known; others may hold what can't be encoded and forwarded. */
export function pickFact(fact: EndpointFact): EndpointFact {
    switch (fact.kind) {
        case "departure":
            return { kind: fact.kind, id: fact.id, bornMs: fact.bornMs };
        case "heartbeat":
            return {
                kind: fact.kind,
                id: fact.id,
                service: fact.service,
                address: fact.address,
                dataCentre: fact.dataCentre,
                slots: fact.slots,
                isLeaving: fact.isLeaving,
                bornMs: fact.bornMs,
                sequence: fact.sequence,
                engine: pickEngine(fact.engine),
                ...pickCold(fact),
            };
        case "observation":
            return {
                kind: fact.kind,
                address: fact.address,
                observerStartedMs: fact.observerStartedMs,
                number: fact.number,
                isReachable: fact.isReachable,
                bornMs: fact.bornMs,
                engine: pickEngine(fact.engine),
                ...pickCold(fact),
            };
    }
}

function pickCold({ coldMs }: { coldMs?: number }): { coldMs?: number } {
    return coldMs === undefined ? {} : { coldMs };
}

function pickEngine(engine: EngineStatus | undefined): EngineStatus | undefined {
    return engine === undefined ? undefined : {
        orderSequence: engine.orderSequence,
        isBusy: engine.isBusy,
        running: engine.running,
        waiting: engine.waiting,
        kvUsedTokens: engine.kvUsedTokens,
        kvTotalTokens: engine.kvTotalTokens,
        pace: engine.pace,
        models: engine.models,
        staged: engine.staged,
        fabricDomain: engine.fabricDomain,
        group: engine.group === undefined ? undefined : {
            name: engine.group.name,
            epoch: engine.group.epoch,
            rank: engine.group.rank,
            state: engine.group.state,
        },
    };
}
