import type { Command } from "@kumquathall/types";

/** Whether a command may change the configuration of entries and agents. Ledger and safe point commands do not. */
export function isConfigurationCommand(command: Command): boolean {
    return !command.kind.startsWith("ledger") && command.kind !== "raiseSafePoint";
}
