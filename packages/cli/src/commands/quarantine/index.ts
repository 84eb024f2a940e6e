import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";

export interface QuarantineArgs extends ConnectionArgs {
    action: "list" | "release";
    fingerprint?: string;
}

/** Lists requests that were in flight at engine crashes, or releases one from quarantine. Returns the exit code. */
export async function runQuarantine(args: QuarantineArgs): Promise<number> {
    const client = createClient(args);
    if (args.action === "release") {
        if (args.fingerprint === undefined) {
            printLine('missing fingerprint; list fingerprints with "kumquathall quarantine list"');
            return ExitCode.Invalid;
        }
        const result = await client.releaseQuarantine(args.fingerprint);
        printLine(
            result.kind === "accepted"
                ? `released ${args.fingerprint}`
                : result.kind === "refused"
                ? `refused: ${result.message}`
                : "",
        );
        return result.kind === "accepted" ? ExitCode.Done : ExitCode.Refused;
    }
    const { suspects } = await client.readConfiguration();
    if (args.json) {
        printJson(suspects);
        return ExitCode.Done;
    }
    printTable(
        ["FINGERPRINT", "SERVICE", "CRASHES", "STATE"],
        suspects.map(
            suspect => [
                suspect.fingerprint,
                suspect.service,
                String(suspect.crashes.length),
                suspect.quarantined ? "quarantined" : "suspect",
            ],
        ),
    );
    return ExitCode.Done;
}
