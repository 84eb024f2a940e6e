import { describeError } from "@kumquathall/errors";
import { listQuarantined } from "@kumquathall/log-story";
import type { SuspectRecord } from "@kumquathall/types";
import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";
import { readLogLines } from "../../readLogLines.js";

export interface QuarantineArgs extends ConnectionArgs {
    action: "list" | "release";
    fingerprint?: string;
    /** Log files that `list` reads instead of querying entries; entries are queried if it is empty. */
    logs: string[];
}

/** Lists what was in flight when engines or endpoints crashed, or releases it from quarantine. Returns the exit code. */
export async function runQuarantine(args: QuarantineArgs): Promise<number> {
    if (args.action === "release") {
        const client = createClient(args);
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
    let suspects: SuspectRecord[];
    if (args.logs.length === 0) {
        ({ suspects } = await createClient(args).readConfiguration());
    }
    else {
        try {
            suspects = listQuarantined(await readLogLines(args.logs, text => text.includes("event=quarantine")));
        }
        catch (error) {
            printLine(`cannot read the logs: ${describeError(error)}; give log files of the processes`);
            return ExitCode.Invalid;
        }
    }
    if (args.json) {
        printJson(suspects);
        return ExitCode.Done;
    }
    printTable(
        ["FINGERPRINT", "SUBJECT", "SERVICE", "CRASHES", "STATE", "ENDED WHILE THEY RAN IT"],
        suspects.map(
            suspect => [
                suspect.fingerprint,
                suspect.subject ?? "request",
                suspect.service,
                String(suspect.crashes.length),
                suspect.quarantined ? "quarantined" : "suspect",
                suspect.crashes.join(" "),
            ],
        ),
    );
    return ExitCode.Done;
}
