import { describeError } from "@kumquathall/errors";
import { explainRequest, type LogLine } from "@kumquathall/log-story";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";
import { readLogLines } from "../../readLogLines.js";

export interface LogArgs {
    requestId: string;
    logs: string[];
    json: boolean;
}

/** Fields that the details column omits: they have a column of their own or do not help to explain the request. */
const FIELDS_OUTSIDE_DETAILS = ["at", "level", "event", "process", "role", "requestId"];

/** Explains from log files how a request ended and which events caused it. Returns the exit code. */
export async function explainFromLogs(args: LogArgs): Promise<number> {
    const { requestId } = args;
    let lines: LogLine[];
    try {
        // Keeps the lines of this request and those of no request.
        lines = await readLogLines(args.logs, text => !text.includes("requestId=") || text.includes(requestId));
    }
    catch (error) {
        printLine(`cannot read the logs: ${describeError(error)}; give log files of the processes`);
        return ExitCode.Invalid;
    }
    const explanation = explainRequest(lines, requestId);
    if (args.json) {
        printJson(explanation);
    }
    else {
        printLine(explanation.summary);
        printLines("attempts", explanation.attempts);
        printLines("causes", explanation.causes);
    }
    return explanation.ends.length > 0 ? ExitCode.Done : ExitCode.Failed;
}

function printLines(title: string, lines: LogLine[]): void {
    if (lines.length === 0) {
        return;
    }
    printLine(`${title}:`);
    printTable(
        ["AT", "PROCESS", "EVENT", "DETAILS"],
        lines.map(line => [new Date(line.atMs).toISOString(), line.process, line.event, formatDetails(line)]),
    );
}

function formatDetails(line: LogLine): string {
    return Object.entries(line.fields)
        .filter(([name]) => !FIELDS_OUTSIDE_DETAILS.includes(name))
        .map(([name, value]) => `${name}=${value}`)
        .join(" ");
}
