import { compactMap } from "@kumquathall/versioned-map";
import { accept, type ApplyOptions, type ApplyResult } from "./applyResult.js";
import { parseKeyTime } from "./ledger.js";
import type { ControlState } from "./state.js";

/** Forgets what no reader needs any more. Lower safe points change nothing. */
export function applySafePoint(
    state: ControlState,
    revision: number,
    ledgerTimeMs: number,
    options: ApplyOptions,
): ApplyResult {
    const configuration = compactMap(state.configuration, revision);
    if (ledgerTimeMs <= state.ledgerTimeMs) {
        return accept({ ...state, configuration }, options.index);
    }
    const ledger = state.ledger.filter((entry, key) => !isForgettable(key, entry.answer !== undefined, ledgerTimeMs));
    return accept({ ...state, configuration, ledger, ledgerTimeMs }, options.index);
}

/** A key without a time is kept for good; one that is not answered is kept, since its request may still run. */
function isForgettable(key: string, isAnswered: boolean, ledgerTimeMs: number): boolean {
    const time = parseKeyTime(key) ?? Number.POSITIVE_INFINITY;
    return isAnswered && time < ledgerTimeMs;
}
