import { type LoadResult, runLoadInWorkers } from "@kumquathall/load";
import { renderLoadReport } from "@kumquathall/report";
import { writeFileSync } from "node:fs";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";

export interface LoadArgs {
    entry: string[];
    key: string;
    json: boolean;
    model: string;
    rate: number;
    seconds: number;
    seed: number;
    streams: number;
    orders: number;
    prefixes: number;
    workers: number;
    report: string | undefined;
}

/** Sends an open-loop load to entries and checks every answer against the stand-in engine's. Returns the exit code. */
export async function runLoadCommand(args: LoadArgs): Promise<number> {
    const result = await runLoadInWorkers({
        urls: args.entry,
        key: args.key,
        model: args.model,
        workers: args.workers,
        workload: {
            ratePerSecond: args.rate,
            durationMs: args.seconds * 1000,
            seed: args.seed,
            streamShare: args.streams,
            orderShare: args.orders,
            sharedPrefixes: args.prefixes,
        },
    });
    if (args.report !== undefined) {
        writeFileSync(
            args.report,
            renderLoadReport(`Load: ${args.rate} requests a second for ${args.seconds} s, seed ${args.seed}`, result),
        );
    }
    args.json ? printJson(result) : printResult(result, args.report);
    return result.wrong > 0 ? ExitCode.Failed : ExitCode.Done;
}

function printResult(result: LoadResult, report: string | undefined): void {
    printLine(
        `sent ${result.sent}: complete ${result.complete}, not run ${result.notRun}, unknown ${result.unknown}, lost ${result.lost}, wrong ${result.wrong}`,
    );
    printTable(
        ["MILLISECONDS", "P50", "P95", "P99", "MAX"],
        ([["first byte", result.firstToken], ["between chunks", result.betweenTokens], [
            "complete answer",
            result.total,
        ]] as const)
            .map((
                [name, summary],
            ) => [name, ...[summary.p50, summary.p95, summary.p99, summary.max].map(value => value.toFixed(2))]),
    );
    result.codes.forEach(item => printLine(`refused ${item.code}: ${item.count}`));
    if (report !== undefined) {
        printLine(`report: ${report}`);
    }
}
