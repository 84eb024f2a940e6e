import { type ConsensusRuntime, getEntries, getLastIndex } from "@kumquathall/consensus";
import { isConfigurationCommand } from "@kumquathall/control-state";
import type { Command, CommandResult, VouchAnswer } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

/**
 * Builds this member's answer to a `vouch` call: the index of the newest configuration entry in its log, committed or
 * not. For applied entries that is the configuration revision of the state.
 */
export function buildRevisionReport(
    member: string,
    runtime: ConsensusRuntime<Command, CommandResult>,
    stateMachine: ControlStateMachine,
): VouchAnswer {
    const state = runtime.getState();
    let accepted = stateMachine.getState().configuration.revision;
    for (const entry of getEntries(state, runtime.getAppliedIndex() + 1, getLastIndex(state))) {
        if (entry.payload.kind === "commands" && entry.payload.commands.some(isConfigurationCommand)) {
            accepted = Math.max(accepted, entry.index);
        }
    }
    return { member, members: [...runtime.getMembers()], accepted };
}
