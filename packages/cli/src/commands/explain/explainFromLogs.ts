import { describeError } from "@kumquathall/errors";
import { explainRequest, type LogLine, parseLogLine } from "@kumquathall/log-story";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";

export interface LogArgs {
    requestId: string;
    logs: string[];
    json: boolean;
}

/** Fields that the details column omits: they have a column of their own or do not help to explain the request. */
const FIELDS_OUTSIDE_DETAILS = ["at", "level", "event", "process", "role", "requestId"];

/** Explains from log files how a request ended and which events caused it. Returns the exit code. */
export async function explainFromLogs(args: LogArgs): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of args.logs) {
        try {
            await readLines(file, args.requestId, lines);
        }
        catch (error) {
            printLine(`cannot read ${file}: ${describeError(error)}; give log files of the processes`);
            return ExitCode.Invalid;
        }
    }
    const explanation = explainRequest(lines, args.requestId);
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

/** Reads the lines of one request and those of no request; keeping every line could exhaust the memory. */
async function readLines(file: string, requestId: string, lines: LogLine[]): Promise<void> {
    for await (const text of createInterface({ input: createReadStream(file) })) {
        if (text.includes("requestId=") && !text.includes(requestId)) {
            continue;
        }
        const line = parseLogLine(text);
        if (line !== undefined) {
            lines.push(line);
        }
    }
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
