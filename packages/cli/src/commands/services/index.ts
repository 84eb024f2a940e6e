import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printTable } from "../../print.js";

/** Lists the services in force. Returns the exit code. */
export async function runServices(args: ConnectionArgs): Promise<number> {
    const { services } = await createClient(args).readConfiguration();
    if (args.json) {
        printJson(services);
        return ExitCode.Done;
    }
    printTable(
        ["SERVICE", "KIND", "VERSION", "MODELS", "ACCOUNTS", "CONCURRENT", "PER SECOND"],
        services.map(service => [
            `${service.institution}/${service.service}`,
            service.kind,
            String(service.version),
            service.models.map(model => `${model.name}@${model.version}`).join(" "),
            service.accounts.map(account => account.name).join(" "),
            String(service.capacity.concurrentRequests),
            String(service.capacity.requestsPerSecond),
        ]),
    );
    return ExitCode.Done;
}
