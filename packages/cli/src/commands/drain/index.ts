import type { DrainKindValue } from "@kumquathall/types";
import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine } from "../../print.js";

export interface DrainArgs extends ConnectionArgs {
    target: DrainKindValue;
    name: string;
}

/** Starts or ends a drain. Returns the exit code. */
export async function runDrain(kind: "drain" | "undrain", args: DrainArgs): Promise<number> {
    const client = createClient(args);
    const { vms } = await client.readConfiguration();
    const affected = vms.filter(vm => getTargetName(args.target, vm) === args.name);
    if (affected.length === 0) {
        printLine(`no VM found for ${args.target} "${args.name}"; list VMs with "kumquathall endpoints"`);
        return ExitCode.Invalid;
    }
    const result = await client.drain(kind, args.target, args.name);
    if (args.json) {
        printJson(result);
    }
    else if (result.kind === "accepted") {
        printLine(
            `${kind} of ${args.target} ${args.name} accepted at revision ${result.revision}: ${affected.length} VMs.`,
        );
        if (args.target === "data-centre") {
            printLine(`Data centre ${args.name} is ${kind === "drain" ? "evacuated" : "no longer evacuated"}.`);
        }
        printLine(
            kind === "drain"
                ? 'A VM can be stopped once "kumquathall endpoints" shows its state as free.'
                : "The VMs can be assigned again.",
        );
    }
    else if (result.kind === "refused") {
        printLine(`refused: ${result.message}`);
    }
    return result.kind === "refused" ? ExitCode.Refused : ExitCode.Done;
}

function getTargetName(
    target: DrainKindValue,
    vm: { id: string; attributes: { fabricDomain: string; dataCentre: string } },
): string {
    switch (target) {
        case "vm":
            return vm.id;
        case "domain":
            return vm.attributes.fabricDomain;
        case "data-centre":
            return vm.attributes.dataCentre;
    }
}
