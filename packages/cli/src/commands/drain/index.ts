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
    const concerned = vms.filter(vm => getTargetName(args.target, vm) === args.name);
    if (concerned.length === 0) {
        printLine(`no ${args.target} named "${args.name}" has a VM; "kumquathall endpoints" lists them`);
        return ExitCode.Invalid;
    }
    const result = await client.drain(kind, args.target, args.name);
    if (args.json) {
        printJson(result);
    }
    else if (result.kind === "accepted") {
        printLine(
            `${kind} of ${args.target} ${args.name} accepted at revision ${result.revision}: ${concerned.length} VMs.`,
        );
        printLine(
            kind === "drain"
                ? 'Watch "kumquathall endpoints" until their state is free; then they can be stopped.'
                : "They can be assigned again.",
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
