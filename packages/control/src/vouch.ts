import { type ConsensusRuntime, getEntries, getLastIndex } from "@kumquathall/consensus";
import { isConfigurationCommand } from "@kumquathall/control-state";
import type { Command, CommandResult, VouchAnswer } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

/** This member's word: the newest configuration entry in its log, committed or not. Entries already applied are counted by the state. */
export function computeVouch(
    member: string,
    runtime: ConsensusRuntime<Command, CommandResult>,
    machine: ControlStateMachine,
): VouchAnswer {
    const state = runtime.getState();
    let accepted = machine.getState().configuration.revision;
    for (const entry of getEntries(state, runtime.getAppliedIndex() + 1, getLastIndex(state))) {
        if (entry.payload.kind === "commands" && entry.payload.commands.some(isConfigurationCommand)) {
            accepted = Math.max(accepted, entry.index);
        }
    }
    return { member, members: [...runtime.getMembers()], accepted };
}
