import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";

/** Shows group downtime and stranded accelerators, then control and services. Returns the exit code. */
export async function runStatus(args: ConnectionArgs): Promise<number> {
    const client = createClient(args);
    const status = await client.readStatus();
    const configuration = await client.readConfiguration();
    if (args.json) {
        printJson({ status, revision: configuration.revision, groups: configuration.groups.length });
        return ExitCode.Done;
    }
    const hours = new Map(status.strandedAcceleratorHours.map(item => [item.institution, item.hours]));
    printTable(
        ["INSTITUTION", "GROUP DOWNTIME (s)", "STRANDED (accelerator h)"],
        status.groupDowntimeSeconds.map(
            item => [item.institution, item.seconds.toFixed(1), (hours.get(item.institution) ?? 0).toFixed(3)],
        ),
    );
    printLine();
    printLine(`stranded now: ${status.strandedAccelerators.toFixed(0)} accelerators`);
    printLine(
        `control: leader ${status.leader}, term ${status.term}, revision ${status.revision}, members ${
            status.members.join(", ")
        }`,
    );
    const evacuated = status.evacuatedDataCentres ?? [];
    printLine(`evacuated data centres: ${evacuated.length === 0 ? "none" : evacuated.join(", ")}`);
    printLine(`this entry: revision ${configuration.revision}, lease valid for ${configuration.leaseMs} ms`);
    printLine();
    printTable(
        ["SERVICE", "VERSION", "GROUPS SERVING", "DECLARED"],
        configuration.services.map(service => {
            const groups = configuration.groups.filter(group =>
                group.institution === service.institution && group.service === service.service
            );
            const serving = groups.filter(group => group.state === "serving").length;
            return [
                `${service.institution}/${service.service}`,
                String(service.version),
                service.kind === "model" ? String(serving) : "-",
                service.kind === "model" ? String(service.capacity.groups) : "-",
            ];
        }),
    );
    return ExitCode.Done;
}
