import { renderStatusReport } from "@kumquathall/report";
import type { ControlStatus } from "@kumquathall/types";
import { writeFileSync } from "node:fs";
import { type ConnectionArgs, createClient } from "../../context.js";
import { ExitCode } from "../../exitCode.js";
import { printLine } from "../../print.js";

export interface ReportArgs extends ConnectionArgs {
    out: string;
    seconds: number;
    every: number;
}

/** Samples group downtime and stranded accelerators and writes them as one HTML page. Returns the exit code. */
export async function runReport(args: ReportArgs): Promise<number> {
    const client = createClient(args);
    const samples: ControlStatus[] = [await client.readStatus()];
    const until = performance.now() + args.seconds * 1000;
    while (performance.now() < until) {
        await new Promise(resolve => setTimeout(resolve, args.every * 1000));
        samples.push(await client.readStatus());
    }
    writeFileSync(
        args.out,
        renderStatusReport("kumquathall: group downtime and stranded accelerators", samples, args.every),
    );
    printLine(`${samples.length} samples written to ${args.out}`);
    return ExitCode.Done;
}
