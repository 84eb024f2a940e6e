import type { StateMachine } from "@kumquathall/consensus";
import {
    applyCommand,
    type ControlState,
    createControlState,
    decodeState,
    encodeStateInSlices,
} from "@kumquathall/control-state";
import type { Command, CommandResult } from "@kumquathall/types";

/** The replicated state machine: applies committed commands to the control state. */
export class ControlStateMachine implements StateMachine<Command, CommandResult> {
    private state: ControlState = createControlState();

    getState(): ControlState {
        return this.state;
    }

    apply(command: Command, index: number, term: number): CommandResult {
        const applied = applyCommand(this.state, command, { index, term });
        this.state = applied.state;
        return applied.result;
    }

    saveSnapshot(): Promise<Uint8Array> {
        return encodeStateInSlices(this.state);
    }

    loadSnapshot(data: Uint8Array): void {
        this.state = decodeState(data);
    }
}
