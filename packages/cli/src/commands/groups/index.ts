import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printTable } from "../../print.js";

/** Lists replica groups. Returns the exit code. */
export async function runGroups(args: ConnectionArgs): Promise<number> {
    const { groups } = await createClient(args).readConfiguration();
    if (args.json) {
        printJson(groups);
        return ExitCode.Done;
    }
    printTable(
        ["GROUP", "SERVICE", "STATE", "FENCING", "LOADED", "VMS", "REASON"],
        groups.map(group => [
            group.id,
            `${group.institution}/${group.service}@${group.serviceVersion}`,
            group.state,
            `${group.fencing.term}.${group.fencing.index}`,
            `${group.loadedVms.length}/${group.vms.length}`,
            group.vms.join(" "),
            group.reason ?? "",
        ]),
    );
    return ExitCode.Done;
}
