import type { CommandResult, ConfigurationValue } from "@kumquathall/types";
import { writeEntry } from "@kumquathall/versioned-map";
import type { ControlState } from "./state.js";

/** Position of the command in the log; `disabledGuard` is a safety check to skip, set only by the model checker. */
export interface ApplyOptions {
    index: number;
    term: number;
    disabledGuard?: string;
}

export interface ApplyResult {
    state: ControlState;
    result: CommandResult;
}

/** Returns the result of a command that took effect at this index. */
export function acceptCommand(state: ControlState, index: number): ApplyResult {
    return { state, result: { kind: "accepted", revision: index } };
}

/** Returns the result of a command that was refused. */
export function refuseCommand(
    state: ControlState,
    code: Extract<CommandResult, { kind: "refused" }>["code"],
    message: string,
): ApplyResult {
    return { state, result: { kind: "refused", code, message } };
}

/** Writes or, with `undefined`, removes one configuration entry. */
export function writeConfiguration(
    state: ControlState,
    key: string,
    index: number,
    value: ConfigurationValue | undefined,
): ControlState {
    return { ...state, configuration: writeEntry(state.configuration, key, index, value) };
}
