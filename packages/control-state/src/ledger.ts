import type {
    CommandResult,
    LedgerAbandonCommand,
    LedgerAnswerCommand,
    LedgerBeginCommand,
    LedgerResult,
} from "@kumquathall/types";
import { getVm } from "./lookup.js";
import type { ControlState, LedgerEntry } from "./state.js";

/** Largest answer body that the ledger keeps, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;
const UUID_V7 = /(?:^|\/)([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Time that a key carries in its last part (UUID version 7), in Unix milliseconds; `undefined` if it has none. */
export function parseKeyTime(key: string): number | undefined {
    const match = UUID_V7.exec(key);
    return match === null ? undefined : parseInt(match[1] + match[2], 16);
}

/** Claims a key before its request is run. Only the first begin of a key wins; later ones get the state of the key. */
export function applyLedgerBegin(
    state: ControlState,
    command: LedgerBeginCommand,
    index: number,
    disabledGuard: string | undefined,
): { state: ControlState; result: CommandResult } {
    const time = parseKeyTime(command.key);
    const entry = state.ledger.get(command.key);
    if (entry !== undefined && disabledGuard !== "ledgerFirstBegin") {
        return { state, result: toResult(describeEntry(state, entry, command)) };
    }
    if (entry === undefined && time !== undefined && time < state.ledgerTimeMs) {
        return { state, result: toResult({ state: "expired" }) };
    }
    const { digest, vm, incarnation, attempt } = command;
    const ledger = state.ledger.set(command.key, { digest, vm, incarnation, attempt, answer: undefined, index });
    return { state: { ...state, ledger }, result: toResult({ state: "won" }) };
}

/** Stores the answer of the winning attempt, without its body if that is too large. */
export function applyLedgerAnswer(
    state: ControlState,
    command: LedgerAnswerCommand,
    index: number,
): { state: ControlState; result: CommandResult } {
    const entry = state.ledger.get(command.key);
    if (entry === undefined || entry.attempt !== command.attempt) {
        return { state, result: { kind: "refused", code: "stale", message: "another attempt holds this key" } };
    }
    const isTooLarge = (command.answer.body?.length ?? 0) > MAX_STORED_ANSWER_BYTES;
    const answer = isTooLarge ? { ...command.answer, body: undefined } : command.answer;
    const ledger = state.ledger.set(command.key, { ...entry, answer: entry.answer ?? answer, index });
    return { state: { ...state, ledger }, result: { kind: "accepted", revision: index } };
}

/** Removes a key whose winning attempt has proved that it never started the request. */
export function applyLedgerAbandon(
    state: ControlState,
    command: LedgerAbandonCommand,
    index: number,
): { state: ControlState; result: CommandResult } {
    const entry = state.ledger.get(command.key);
    if (entry === undefined || entry.attempt !== command.attempt || entry.answer !== undefined) {
        return { state, result: { kind: "refused", code: "stale", message: "another attempt holds this key" } };
    }
    return {
        state: { ...state, ledger: state.ledger.delete(command.key) },
        result: { kind: "accepted", revision: index },
    };
}

/** Describes the state of a key for an attempt that begins it. */
export function describeEntry(
    state: ControlState,
    entry: LedgerEntry,
    command: { digest: string; attempt: string },
): LedgerResult {
    if (entry.digest !== command.digest) {
        return { state: "reused" };
    }
    if (entry.answer !== undefined) {
        return { state: "answered", answer: entry.answer };
    }
    if (entry.attempt === command.attempt) {
        return { state: "won" };
    }
    const vm = getVm(state.configuration, entry.vm);
    const isAlive = vm !== undefined && vm.incarnation === entry.incarnation && vm.present;
    return isAlive ? { state: "inFlight", vm: entry.vm, incarnation: entry.incarnation } : { state: "unknown" };
}

function toResult(ledger: LedgerResult): CommandResult {
    return { kind: "ledger", ledger };
}
