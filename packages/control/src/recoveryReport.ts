import type { ConsensusRuntime } from "@kumquathall/consensus";
import { getTraffic } from "@kumquathall/control-state";
import type { LogFields } from "@kumquathall/logger";
import type { RecoveredState } from "@kumquathall/storage";
import type { Command, CommandResult, LogEntry } from "@kumquathall/types";
import type { ControlStateMachine } from "./controlStateMachine.js";

/**
 * Describes for the log what a member has recovered from its disk: `version` is the configuration in its snapshot,
 * `logged` the newest one in the entries after it, of which it is not yet known whether they are committed.
 */
export function describeRecovery(
    runtime: ConsensusRuntime<Command, CommandResult>,
    stateMachine: ControlStateMachine,
    recovered: RecoveredState<Command>,
): LogFields {
    const snapshot = recovered.snapshot?.index ?? 0;
    return {
        member: runtime.getState().id,
        snapshot,
        entries: recovered.entries.length,
        newest: recovered.entries.at(-1)?.index ?? snapshot,
        term: recovered.hardState.term,
        cutBytes: recovered.cutBytes,
        version: getTraffic(stateMachine.getState().configuration)?.version,
        logged: findNewestVersion(recovered.entries),
        members: runtime.getMembers().join(),
    };
}

function findNewestVersion(entries: readonly LogEntry<Command>[]): number | undefined {
    const commands = entries.flatMap(entry => entry.payload.kind === "commands" ? entry.payload.commands : []);
    const versions = commands.flatMap(command => {
        if (command.kind === "publishTraffic") {
            return [command.traffic.version];
        }
        return command.kind === "changeTraffic" ? [command.version] : [];
    });
    return versions.length === 0 ? undefined : Math.max(...versions);
}
