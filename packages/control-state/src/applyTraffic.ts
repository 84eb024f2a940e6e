import type { ChangeTrafficCommand, PublishTrafficCommand } from "@kumquathall/types";
import {
    acceptCommand,
    type ApplyOptions,
    type ApplyResult,
    refuseCommand,
    writeConfiguration,
} from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { getTraffic } from "./lookup.js";
import type { ControlState } from "./state.js";
import { applyTextChange } from "./textChange.js";
import { computeTrafficChanges, type TrafficChange } from "./trafficEntries.js";

interface TrafficWrite {
    version: number;
    changes: readonly TrafficChange[];
    document: string;
    at: string;
}

/** Publishes a newer traffic configuration. An older or equal version changes nothing, since it may be a resend. */
export function applyPublishTraffic(
    state: ControlState,
    command: PublishTrafficCommand,
    options: ApplyOptions,
): ApplyResult {
    const { traffic, document, at } = command;
    if (traffic.version <= getVersion(state)) {
        return acceptCommand(state, options.index);
    }
    const changes = computeTrafficChanges(state.configuration, traffic);
    return writeTraffic(state, { version: traffic.version, changes, document, at }, options);
}

/** Like {@link applyPublishTraffic}, from the difference to the version in force. */
export function applyChangeTraffic(
    state: ControlState,
    command: ChangeTrafficCommand,
    options: ApplyOptions,
): ApplyResult {
    const { baseVersion, version, changes, at } = command;
    const current = getVersion(state);
    if (version <= current) {
        return acceptCommand(state, options.index);
    }
    if (baseVersion !== current) {
        return refuseCommand(
            state,
            "stale",
            `version ${version} is given as a change of version ${baseVersion}, but version ${current} is in force; `
                + "compute the change again",
        );
    }
    const document = applyTextChange(state.trafficDocument ?? "", command.document);
    return writeTraffic(state, { version, changes, document, at }, options);
}

function getVersion(state: ControlState): number {
    return getTraffic(state.configuration)?.version ?? 0;
}

function writeTraffic(state: ControlState, write: TrafficWrite, options: ApplyOptions): ApplyResult {
    const audited = appendAuditRecord(state, {
        index: options.index,
        at: write.at,
        operator: "operator",
        changeId: `traffic-${write.version}`,
        action: "publish",
        subject: "traffic",
        accepted: true,
        before: `version ${getVersion(state)}`,
        after: `version ${write.version}`,
    });
    const written = write.changes.reduce(
        (next, change) => writeConfiguration(next, change.key, options.index, change.value),
        audited,
    );
    return acceptCommand({ ...written, trafficDocument: write.document }, options.index);
}
