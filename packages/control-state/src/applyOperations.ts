import { type DrainCommand, QuarantineSubject, type ReleaseQuarantineCommand } from "@kumquathall/types";
import {
    acceptCommand,
    type ApplyOptions,
    type ApplyResult,
    refuseCommand,
    writeConfiguration,
} from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { formatDrainKey, formatQuarantineKey, formatSuspectKey } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Starts or ends a drain. */
export function applyDrain(state: ControlState, command: DrainCommand, options: ApplyOptions): ApplyResult {
    const key = formatDrainKey(command.target, command.name);
    const isInForce = state.configuration.entries.get(key)?.value !== undefined;
    const isStart = command.kind === "drain";
    const drain = { kind: command.target, name: command.name, operator: command.operator };
    const next = isInForce === isStart
        ? state
        : writeConfiguration(state, key, options.index, isStart ? { kind: "drain", drain } : undefined);
    const audited = appendAuditRecord(next, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId ?? `drain-${options.index}`,
        action: command.kind,
        subject: `${command.target} ${command.name}`,
        accepted: true,
        before: isInForce ? "draining" : "in use",
        after: isStart ? "draining" : "in use",
    });
    return acceptCommand(audited, options.index);
}

/** Releases a request from quarantine on an operator's order, so that it may run again. */
export function applyReleaseQuarantine(
    state: ControlState,
    command: ReleaseQuarantineCommand,
    options: ApplyOptions,
): ApplyResult {
    const keys = [
        formatSuspectKey(command.fingerprint),
        ...Object.values(QuarantineSubject).map(subject => formatQuarantineKey(subject, command.fingerprint)),
    ].filter(key => state.configuration.entries.get(key)?.value !== undefined);
    const isKnown = keys.length > 0;
    const audited = appendAuditRecord(state, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId,
        action: "release-quarantine",
        subject: command.fingerprint,
        accepted: isKnown,
        before: isKnown ? "quarantined" : "unknown",
        after: isKnown ? "released" : "no such fingerprint",
    });
    if (!isKnown) {
        return refuseCommand(audited, "not-found", `no suspect with fingerprint ${command.fingerprint}`);
    }
    return acceptCommand(
        keys.reduce((next, key) => writeConfiguration(next, key, options.index, undefined), audited),
        options.index,
    );
}
