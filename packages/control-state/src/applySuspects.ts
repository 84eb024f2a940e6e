import { type QuarantineCommand, QuarantineSubject, type ReportCrashCommand } from "@kumquathall/types";
import { acceptCommand, type ApplyOptions, type ApplyResult, writeConfiguration } from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { formatQuarantineKey, formatSuspectKey, QUARANTINE_KEY_PREFIX } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Number of crashes with the same request in flight after which the request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Quarantined subjects at gateways; the oldest is released when there are more. */
const MAX_QUARANTINED = 256;

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
            subject: QuarantineSubject.Request,
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

/** Quarantines a subject at all gateways. A resent command changes nothing. */
export function applyQuarantine(state: ControlState, command: QuarantineCommand, options: ApplyOptions): ApplyResult {
    const { subject, id, service, crashes, at } = command;
    const key = formatQuarantineKey(subject, id);
    if (state.configuration.entries.get(key)?.value !== undefined) {
        return acceptCommand(state, options.index);
    }
    const record = { fingerprint: id, subject, service, crashes, quarantined: true };
    const audited = appendAuditRecord(releaseOldest(state, options), {
        index: options.index,
        at,
        operator: "control",
        changeId: `quarantine-${options.index}`,
        action: "quarantine",
        subject: `${subject} ${id}`,
        accepted: true,
        before: "served",
        after: `quarantined after ${crashes.length} crashes`,
    });
    return acceptCommand(
        writeConfiguration(audited, key, options.index, { kind: "suspect", suspect: record }),
        options.index,
    );
}

/** Makes room for one more quarantined subject. */
function releaseOldest(state: ControlState, options: ApplyOptions): ControlState {
    const quarantined = [...state.configuration.entries]
        .filter(([key, entry]) => entry.value !== undefined && key.startsWith(QUARANTINE_KEY_PREFIX));
    if (quarantined.length < MAX_QUARANTINED) {
        return state;
    }
    const [oldestKey] = quarantined.reduce((left, right) => right[1].revision < left[1].revision ? right : left);
    return writeConfiguration(state, oldestKey, options.index, undefined);
}
