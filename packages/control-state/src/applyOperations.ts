import type { DrainCommand, ReleaseQuarantineCommand } from "@kumquathall/types";
import {
    acceptCommand,
    type ApplyOptions,
    type ApplyResult,
    refuseCommand,
    writeConfiguration,
} from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { formatDrainKey, formatSuspectKey } from "./lookup.js";
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
        changeId: command.changeId,
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
    const key = formatSuspectKey(command.fingerprint);
    const isKnown = state.configuration.entries.get(key)?.value !== undefined;
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
    return acceptCommand(writeConfiguration(audited, key, options.index, undefined), options.index);
}
