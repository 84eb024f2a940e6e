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

/**
 * Whether a drain or its end would undo a later one: its target has changed after the revision that the command names, or
 * may have, since removed entries are forgotten up to the safe point.
 */
export function isDrainSuperseded(state: ControlState, { kind, target, name, since }: DrainCommand): boolean {
    const { entries, safePoint } = state.configuration;
    const entry = entries.get(formatDrainKey(target, name));
    const isInForce = (entry?.value !== undefined) === (kind === "drain");
    return since !== undefined && !isInForce && ((entry?.revision ?? 0) > since || safePoint > since);
}

/** Refuses a drain or its end that would undo a later one. */
export function refuseSupersededDrain(state: ControlState, command: DrainCommand): ApplyResult {
    const { target, name, since } = command;
    const message =
        `${target} "${name}" has been drained or undrained after revision ${since}, and the order may be older; `
        + "send it again if it is still wanted";
    const { revision } = state.configuration;
    return { state, result: { kind: "refused", code: "superseded", message, revision } };
}

/** Starts or ends a drain, unless that would undo a later order. */
export function applyDrain(state: ControlState, command: DrainCommand, options: ApplyOptions): ApplyResult {
    if (isDrainSuperseded(state, command) && options.disabledGuard !== "orderSince") {
        return refuseSupersededDrain(state, command);
    }
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
