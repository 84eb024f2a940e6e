import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printTable } from "../../print.js";

/** Lists endpoint VMs with their state in control and their load at the queried entry. Returns the exit code. */
export async function runEndpoints(args: ConnectionArgs): Promise<number> {
    const { vms, endpoints, drains } = await createClient(args).readConfiguration();
    if (args.json) {
        printJson({ vms, endpoints, drains });
        return ExitCode.Done;
    }
    const endpointsByVm = new Map(endpoints.map(endpoint => [endpoint.vm, endpoint]));
    printTable(
        ["VM", "DATA CENTRE", "DOMAIN", "KIND", "STATE", "PRESENT", "GROUP", "IN FLIGHT HERE"],
        vms.map(vm => [
            vm.id,
            vm.attributes.dataCentre,
            vm.attributes.fabricDomain,
            vm.attributes.kind,
            vm.state,
            vm.present ? "yes" : "no",
            vm.groupId ?? vm.attributes.service ?? "",
            String(endpointsByVm.get(vm.id)?.inFlight ?? "no link"),
        ]),
    );
    drains.forEach(drain => process.stdout.write(`draining: ${drain.kind} ${drain.name} (by ${drain.operator})\n`));
    return ExitCode.Done;
}
