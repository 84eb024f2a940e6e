import type { DrainCommand, ReleaseQuarantineCommand } from "@kumquathall/types";
import { accept, type ApplyOptions, type ApplyResult, refuse, write } from "./applyResult.js";
import { auditChange } from "./audit.js";
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
        : write(state, key, options.index, isStart ? { kind: "drain", drain } : undefined);
    const audited = auditChange(next, {
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
    return accept(audited, options.index);
}

/** An operator lets a quarantined request run again. */
export function applyReleaseQuarantine(
    state: ControlState,
    command: ReleaseQuarantineCommand,
    options: ApplyOptions,
): ApplyResult {
    const key = formatSuspectKey(command.fingerprint);
    const isKnown = state.configuration.entries.get(key)?.value !== undefined;
    const audited = auditChange(state, {
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
        return refuse(audited, "not-found", `no suspect with fingerprint ${command.fingerprint}`);
    }
    return accept(write(audited, key, options.index, undefined), options.index);
}
