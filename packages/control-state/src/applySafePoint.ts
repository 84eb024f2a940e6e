import { compactMap } from "@kumquathall/versioned-map";
import { acceptCommand, type ApplyOptions, type ApplyResult } from "./applyResult.js";
import { parseKeyTime } from "./ledger.js";
import type { ControlState } from "./state.js";

/** Drops removals and answered ledger keys that no reader needs any more. A lower safe point changes nothing. */
export function applySafePoint(
    state: ControlState,
    revision: number,
    ledgerTimeMs: number,
    options: ApplyOptions,
): ApplyResult {
    const configuration = compactMap(state.configuration, revision);
    if (ledgerTimeMs <= state.ledgerTimeMs) {
        return acceptCommand({ ...state, configuration }, options.index);
    }
    const ledger = state.ledger.filter((entry, key) => !isRemovable(key, entry.answer !== undefined, ledgerTimeMs));
    return acceptCommand({ ...state, configuration, ledger, ledgerTimeMs }, options.index);
}

/** A key without a time is never removed; an unanswered key is not either, since its request may still run. */
function isRemovable(key: string, isAnswered: boolean, ledgerTimeMs: number): boolean {
    const time = parseKeyTime(key) ?? Number.POSITIVE_INFINITY;
    return isAnswered && time < ledgerTimeMs;
}
