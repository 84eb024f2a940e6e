import type { ReportCrashCommand } from "@kumquathall/types";
import { acceptCommand, type ApplyOptions, type ApplyResult, writeConfiguration } from "./applyResult.js";
import { formatSuspectKey } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Number of crashes with the same request in flight after which the request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Marks requests that were in flight at a crash as suspect, and quarantines them after repeated crashes. */
export function applyReportCrash(state: ControlState, command: ReportCrashCommand, options: ApplyOptions): ApplyResult {
    let next = state;
    const crash = `${command.vm}/${command.incarnation}/${command.at}`;
    for (const fingerprint of command.fingerprints) {
        const key = formatSuspectKey(fingerprint);
        const value = next.configuration.entries.get(key)?.value;
        const known = value?.kind === "suspect" ? value.suspect : undefined;
        const crashes = [...(known?.crashes ?? []).filter(item => item !== crash), crash];
        const suspect = {
            fingerprint,
            service: command.service,
            crashes,
            quarantined: crashes.length >= CRASHES_TO_QUARANTINE,
        };
        next = writeConfiguration(next, key, options.index, { kind: "suspect", suspect });
    }
    return acceptCommand(next, options.index);
}

/** Clears suspect requests that have completed. Quarantined ones stay. */
export function applyClearSuspects(state: ControlState, fingerprints: string[], options: ApplyOptions): ApplyResult {
    let next = state;
    for (const fingerprint of fingerprints) {
        const key = formatSuspectKey(fingerprint);
        const value = next.configuration.entries.get(key)?.value;
        if (value?.kind === "suspect" && !value.suspect.quarantined) {
            next = writeConfiguration(next, key, options.index, undefined);
        }
    }
    return acceptCommand(next, options.index);
}
