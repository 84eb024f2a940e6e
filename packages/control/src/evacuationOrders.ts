import type { ConsensusRuntime } from "@kumquathall/consensus";
import {
    isDataCentreEvacuated,
    isDrainSuperseded,
    listEvacuatedDataCentres,
    refuseSupersededDrain,
} from "@kumquathall/control-state";
import { KumquathallError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import {
    type Command,
    type CommandResult,
    type ControlAnswer,
    type ControlCall,
    type DrainCommand,
    DrainKind,
} from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";
import { type OperatorOrder, SupersededOrderError } from "./operatorOrder.js";

/** No data centre of this name is known; the message lists the known ones. */
export class UnknownDataCentreError extends KumquathallError {}

export interface EvacuationOrdersOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    stateMachine: ControlStateMachine;
    logger: Logger;
    /** Calls the leader while `canSend` returns `true`; rejects if none answers in time. */
    callLeader: (call: ControlCall, timeoutMs: number, canSend: () => boolean) => Promise<ControlAnswer>;
    /** Lists the data centres that can be evacuated. */
    listDataCentres: () => string[];
}

type OrderResult = Exclude<CommandResult, { kind: "ledger" }>;

/** Recorded in the audit trail: control's HTTP server does not identify its callers. */
const OPERATOR = "operator";

/** Orders and withdraws the evacuation of data centres, as drains that are replicated in the configuration. */
export class EvacuationOrders {
    /** Number of orders that were proposed here and have not ended, by data centre. */
    private readonly underWay = new Map<string, number>();

    constructor(private readonly options: EvacuationOrdersOptions) {}

    /**
     * Resolves once the order is committed, also if it changes nothing. Rejects with {@link UnknownDataCentreError}, with
     * {@link LateOrderError} if the caller may have moved on, with {@link SupersededOrderError} if the order would undo a
     * later one, and with {@link KumquathallError} if no leader confirms it in time.
     */
    async set(dataCentre: string, isEvacuated: boolean, order: OperatorOrder): Promise<void> {
        this.checkDataCentre(dataCentre);
        let since = order.since;
        for (;;) {
            order.check();
            const result = await this.callLeader(dataCentre, isEvacuated, order, since);
            if (result.kind === "accepted") {
                this.options.logger.info("evacuation-accepted", { dataCentre, isEvacuated, revision: result.revision });
                return;
            }
            if (result.revision === undefined || !order.isAwaited()) {
                order.check();
                throw new SupersededOrderError(result.message);
            }
            // The caller waits, so that the order is newer than the change: this process was behind, or they came together.
            since = result.revision;
        }
    }

    private async callLeader(
        dataCentre: string,
        isEvacuated: boolean,
        order: OperatorOrder,
        since: number,
    ): Promise<OrderResult> {
        const command: DrainCommand = {
            kind: isEvacuated ? "drain" : "undrain",
            operator: OPERATOR,
            target: DrainKind.DataCentre,
            name: dataCentre,
            at: new Date().toISOString(),
            since,
        };
        const canSend = () => order.getTimeLeftMs() > 0;
        const answer = await this.options.callLeader({ kind: "propose", command }, order.getTimeLeftMs(), canSend);
        if (answer.kind !== "result" || answer.result.kind === "ledger") {
            throw new KumquathallError("the leader did not commit the order; send it again");
        }
        return answer.result;
    }

    /** Proposes a command at this member; an order that is resent and changes nothing costs no log entry. */
    async propose(command: Command): Promise<CommandResult> {
        const { runtime } = this.options;
        if (!isEvacuation(command)) {
            return runtime.propose(command);
        }
        const repeated = this.findRepeated(command);
        if (repeated !== undefined) {
            return repeated;
        }
        const state = this.options.stateMachine.getState();
        if (isDrainSuperseded(state, command)) {
            return refuseSupersededDrain(state, command).result;
        }
        const { name } = command;
        this.underWay.set(name, (this.underWay.get(name) ?? 0) + 1);
        try {
            return await runtime.propose(command);
        }
        finally {
            const left = (this.underWay.get(name) ?? 1) - 1;
            if (left === 0) {
                this.underWay.delete(name);
            }
            else {
                this.underWay.set(name, left);
            }
        }
    }

    /**
     * Finds the result of an order that changes nothing; `undefined` if it must be proposed. Only a leader with a lease
     * knows the committed state, and orders that arrived here before and have not ended may change it. Entries of former
     * leaders are applied before a leader has a lease.
     */
    private findRepeated({ kind, name, changeId }: DrainCommand): CommandResult | undefined {
        const { runtime, stateMachine } = this.options;
        const { configuration } = stateMachine.getState();
        const isInForce = isDataCentreEvacuated(configuration, name) === (kind === "drain");
        return changeId === undefined && isInForce && !this.underWay.has(name) && runtime.canServe()
            ? { kind: "accepted", revision: configuration.revision }
            : undefined;
    }

    /** An evacuation in force can be withdrawn even if its data centre is no longer known. */
    private checkDataCentre(dataCentre: string): void {
        const { listDataCentres, stateMachine } = this.options;
        const known = new Set([
            ...listDataCentres(),
            ...listEvacuatedDataCentres(stateMachine.getState().configuration),
        ]);
        if (!known.has(dataCentre)) {
            throw new UnknownDataCentreError(
                `no data centre "${dataCentre}" is known; known are ${[...known].sort().join(", ")}`,
            );
        }
    }
}

function isEvacuation(command: Command): command is DrainCommand {
    return (command.kind === "drain" || command.kind === "undrain") && command.target === DrainKind.DataCentre;
}
