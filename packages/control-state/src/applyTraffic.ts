import type { PublishTrafficCommand } from "@kumquathall/types";
import { acceptCommand, type ApplyOptions, type ApplyResult, writeConfiguration } from "./applyResult.js";
import { appendAuditRecord } from "./audit.js";
import { getTraffic, TRAFFIC_KEY } from "./lookup.js";
import type { ControlState } from "./state.js";

/** Publishes a newer traffic configuration. An older or equal version changes nothing, since it may be a resend. */
export function applyPublishTraffic(
    state: ControlState,
    command: PublishTrafficCommand,
    options: ApplyOptions,
): ApplyResult {
    const current = getTraffic(state.configuration)?.traffic.version ?? 0;
    const { version } = command.traffic;
    if (version <= current) {
        return acceptCommand(state, options.index);
    }
    const audited = appendAuditRecord(state, {
        index: options.index,
        at: command.at,
        operator: "operator",
        changeId: `traffic-${version}`,
        action: "publish",
        subject: "traffic",
        accepted: true,
        before: `version ${current}`,
        after: `version ${version}`,
    });
    const value = { kind: "traffic" as const, traffic: command.traffic, document: command.document };
    return acceptCommand(writeConfiguration(audited, TRAFFIC_KEY, options.index, value), options.index);
}
