import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printTable } from "../../print.js";

export interface AuditArgs extends ConnectionArgs {
    limit: number;
}

/** Shows the audit trail, newest last. Returns the exit code. */
export async function runAudit(args: AuditArgs): Promise<number> {
    const records = await createClient(args).readAudit(args.limit);
    if (args.json) {
        printJson(records);
        return ExitCode.Done;
    }
    printTable(
        ["AT", "OPERATOR", "ACTION", "SUBJECT", "RESULT", "BEFORE", "AFTER", "CHANGE"],
        records.map(record => [
            record.at,
            record.operator,
            record.action,
            record.subject,
            record.accepted ? "accepted" : "refused",
            record.before,
            record.after,
            record.changeId,
        ]),
    );
    return ExitCode.Done;
}
