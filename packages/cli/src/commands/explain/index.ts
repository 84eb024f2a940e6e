import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";
import { explainFromLogs } from "./explainFromLogs.js";

export interface ExplainArgs extends ConnectionArgs {
    requestId: string;
    /** Log files to read instead of querying entries; entries are queried if it is empty. */
    logs: string[];
}

interface ExplainedRequest {
    service: string;
    institution: string;
    account: string;
    isRepeatable: boolean;
    queuedMs: number;
    candidates: number;
    outcome: string;
    code: string;
    totalMs: number;
    attempts: {
        endpoint: string;
        vm: string;
        reason: string;
        startedMs: number;
        endedMs: number;
        end: string;
        reattached: number;
    }[];
}

/** Shows how a request was routed and which outcome its caller received. Returns the exit code. */
export async function runExplain(args: ExplainArgs): Promise<number> {
    if (args.logs.length > 0) {
        return explainFromLogs(args);
    }
    const record = await createClient(args).explain(args.requestId) as ExplainedRequest;
    if (args.json) {
        printJson(record);
        return ExitCode.Done;
    }
    const repeatable = record.isRepeatable ? "may be repeated" : "at most once";
    printLine(`${record.institution}/${record.service}, account ${record.account}, ${repeatable}`);
    printLine(`waited ${record.queuedMs.toFixed(1)} ms for admission; ${record.candidates} endpoints could serve it`);
    printTable(
        ["ATTEMPT", "ENDPOINT", "VM", "CHOSEN BY", "FROM (ms)", "TO (ms)", "END", "REATTACHED"],
        record.attempts.map((attempt, index) => [
            String(index + 1),
            attempt.endpoint,
            attempt.vm,
            attempt.reason,
            attempt.startedMs.toFixed(1),
            attempt.endedMs.toFixed(1),
            attempt.end,
            String(attempt.reattached),
        ]),
    );
    printLine(
        `outcome sent to the caller: ${record.outcome}${record.code === "" ? "" : ` (${record.code})`} after ${
            record.totalMs.toFixed(1)
        } ms`,
    );
    return ExitCode.Done;
}
