import type { ReportCrashCommand } from "@kumquathall/types";
import { accept, type ApplyOptions, type ApplyResult, write } from "./applyResult.js";
import { formatSuspectKey } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Crashes with the same request in flight after which the request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** What was in flight at a crash becomes suspect, or is quarantined. */
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
        next = write(next, key, options.index, { kind: "suspect", suspect });
    }
    return accept(next, options.index);
}

/** Suspects that ran to their end are suspects no longer. */
export function applyClearSuspects(state: ControlState, fingerprints: string[], options: ApplyOptions): ApplyResult {
    let next = state;
    for (const fingerprint of fingerprints) {
        const key = formatSuspectKey(fingerprint);
        const value = next.configuration.entries.get(key)?.value;
        if (value?.kind === "suspect" && !value.suspect.quarantined) {
            next = write(next, key, options.index, undefined);
        }
    }
    return accept(next, options.index);
}
