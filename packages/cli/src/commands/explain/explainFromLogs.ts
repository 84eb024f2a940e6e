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

/** Fields that have a column of their own, or are the same in every line. */
const SHOWN_FIELDS = ["at", "level", "event", "process", "role", "requestId"];

/** Tells from log files what became of a request and which decisions led to it. Returns the exit code. */
export async function explainFromLogs(args: LogArgs): Promise<number> {
    const lines: LogLine[] = [];
    for (const file of args.logs) {
        try {
            await readLines(file, args.requestId, lines);
        }
        catch (error) {
            printLine(`${file}: cannot be read (${describeError(error)}); name a log file of a process`);
            return ExitCode.Invalid;
        }
    }
    const story = explainRequest(lines, args.requestId);
    if (args.json) {
        printJson(story);
    }
    else {
        printLine(story.summary);
        printLines("attempts", story.attempts);
        printLines("decisions that led to it", story.causes);
    }
    return story.ends.length > 0 ? ExitCode.Done : ExitCode.Failed;
}

/** Keeps the request's own lines and those that belong to no request: the rest could fill the memory. */
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
        .filter(([name]) => !SHOWN_FIELDS.includes(name))
        .map(([name, value]) => `${name}=${value}`)
        .join(" ");
}
