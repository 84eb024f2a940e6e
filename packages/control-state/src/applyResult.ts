import type { CommandResult, ConfigurationValue } from "@kumquathall/types";
import { writeEntry } from "@kumquathall/versioned-map";
import type { ControlState } from "./state.js";

/** Place of the command in the log, and the guard that a model-checking mutant switches off. */
export interface ApplyOptions {
    index: number;
    term: number;
    disabledGuard?: string;
}

export interface ApplyResult {
    state: ControlState;
    result: CommandResult;
}

/** The command took effect at this index. */
export function accept(state: ControlState, index: number): ApplyResult {
    return { state, result: { kind: "accepted", revision: index } };
}

/** The command changes nothing. */
export function refuse(
    state: ControlState,
    code: Extract<CommandResult, { kind: "refused" }>["code"],
    message: string,
): ApplyResult {
    return { state, result: { kind: "refused", code, message } };
}

/** Writes or, with `undefined`, removes one configuration entry. */
export function write(
    state: ControlState,
    key: string,
    index: number,
    value: ConfigurationValue | undefined,
): ControlState {
    return { ...state, configuration: writeEntry(state.configuration, key, index, value) };
}
