import type { Command } from "@kumquathall/types";

/** Whether a command may change the configuration that entries and agents read; ledger and safe point ones do not. */
export function isConfigurationCommand(command: Command): boolean {
    return !command.kind.startsWith("ledger") && command.kind !== "raiseSafePoint";
}
