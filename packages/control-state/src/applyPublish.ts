import type { PublishCommand } from "@kumquathall/types";
import { isDeepStrictEqual } from "node:util";
import { acceptCommand, type ApplyOptions, type ApplyResult, writeConfiguration } from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { formatServiceKey, getService } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Publishes the first version of a service, the one in force again, or a newer one that is based on it. */
export function applyPublish(state: ControlState, command: PublishCommand, options: ApplyOptions): ApplyResult {
    const { definition } = command;
    const current = getService(state.configuration, definition.institution, definition.service);
    const conflict = describeConflict(command, current, options);
    const subject = `${definition.institution}/${definition.service}`;
    const audited = appendAuditRecord(state, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId,
        action: "publish",
        subject,
        accepted: conflict === undefined,
        before: current === undefined ? "none" : `version ${current.version}`,
        after: conflict ?? `version ${definition.version}`,
    });
    if (conflict !== undefined) {
        return {
            state: audited,
            result: { kind: "refused", code: "version-conflict", message: conflict, winner: current },
        };
    }
    const key = formatServiceKey(definition.institution, definition.service);
    return acceptCommand(
        writeConfiguration(audited, key, options.index, { kind: "service", service: definition }),
        options.index,
    );
}

function describeConflict(
    command: PublishCommand,
    current: PublishCommand["definition"] | undefined,
    options: ApplyOptions,
): string | undefined {
    const { definition, baseVersion } = command;
    if (current === undefined || options.disabledGuard === "publishCompareAndSet") {
        return undefined;
    }
    if (isDeepStrictEqual(current, definition)) {
        return undefined;
    }
    if (definition.version === current.version) {
        return `version ${definition.version} is already in force with different content; raise "version" above it`;
    }
    if (definition.version < current.version) {
        return `version ${definition.version} is older than version ${current.version} in force`;
    }
    if (baseVersion !== current.version) {
        return `the plan was made against version ${baseVersion}, but version ${current.version} is in force; publish again`;
    }
    return undefined;
}
