import type { ConsensusRuntime } from "@kumquathall/consensus";
import { computeInstitutionMetrics, listEvacuatedDataCentres } from "@kumquathall/control-state";
import type { Command, CommandResult, ControlStatus } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

const MS_PER_SECOND = 1000;
const MS_PER_HOUR = 3_600_000;

/** Builds the output of the status command from the applied state. */
export function buildStatus(
    leader: string,
    runtime: ConsensusRuntime<Command, CommandResult>,
    stateMachine: ControlStateMachine,
): ControlStatus {
    const state = stateMachine.getState();
    const consensus = runtime.getState();
    const current = computeInstitutionMetrics(state);
    const elapsedMs = state.metricTotals.lastAt === 0 ? 0 : Math.max(0, Date.now() - state.metricTotals.lastAt);
    const addElapsed = (total: number | undefined, rate: number) => (total ?? 0) + rate * elapsedMs;
    return {
        leader,
        term: consensus.hardState.term,
        revision: state.configuration.revision,
        members: [...runtime.getMembers()],
        groupDowntimeSeconds: current.map(item => ({
            institution: item.institution,
            seconds: addElapsed(state.metricTotals.groupDowntimeMs.get(item.institution), item.missingGroups)
                / MS_PER_SECOND,
        })),
        strandedAcceleratorHours: current.map(item => ({
            institution: item.institution,
            hours: addElapsed(state.metricTotals.strandedAcceleratorMs.get(item.institution), item.strandedAccelerators)
                / MS_PER_HOUR,
        })),
        strandedAccelerators: current.reduce((sum, item) => sum + item.strandedAccelerators, 0),
        logEntries: consensus.entries.length,
        ledgerKeys: state.ledger.size,
        evacuatedDataCentres: listEvacuatedDataCentres(state.configuration),
    };
}
