import { decodeBlocks, NodeDisk, StorageError } from "@kumquathall/storage";
import type { HardState, LogEntry, Snapshot } from "@kumquathall/types";
import { existsSync } from "node:fs";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine, printTable } from "../../print.js";

export interface DataArgs {
    action: "inspect" | "verify";
    folder: string;
    json: boolean;
}

interface FileReport {
    file: string;
    bytes: number;
    blocks: number;
    records: string;
    tornBytes: number;
    problem: string;
}

/** Checks the log and snapshot files in a control member's data folder without changing them. Returns the exit code. */
export async function runData(args: DataArgs): Promise<number> {
    if (!existsSync(args.folder)) {
        printLine(`${args.folder}: folder does not exist`);
        return ExitCode.Invalid;
    }
    const disk = new NodeDisk(args.folder);
    const names = (await disk.list()).filter(name => /^(log|snapshot)-\d+$/.test(name));
    const reports: FileReport[] = [];
    for (const name of names) {
        reports.push(inspectFile(name, Buffer.from(await disk.read(name))));
    }
    const damaged = reports.filter(report => report.problem !== "");
    if (args.json) {
        printJson(reports);
    }
    else if (args.action === "inspect") {
        printTable(
            ["FILE", "BYTES", "BLOCKS", "RECORDS", "TORN BYTES", "PROBLEM"],
            reports.map(
                report => [
                    report.file,
                    String(report.bytes),
                    String(report.blocks),
                    report.records,
                    String(report.tornBytes),
                    report.problem,
                ],
            ),
        );
    }
    else {
        damaged.forEach(report => printLine(report.problem));
        printLine(
            damaged.length === 0
                ? `${reports.length} files checked, none damaged`
                : `${damaged.length} of ${reports.length} files are damaged`,
        );
    }
    return damaged.length === 0 ? ExitCode.Done : ExitCode.Failed;
}

function inspectFile(name: string, file: Buffer): FileReport {
    const report = { file: name, bytes: file.length, blocks: 0, records: "", tornBytes: 0, problem: "" };
    try {
        const decoded = decodeBlocks(name, file);
        const records = name.startsWith("snapshot") ? describeSnapshot(decoded.records) : describeLog(decoded.records);
        return { ...report, blocks: decoded.blockCount, records, tornBytes: file.length - decoded.validBytes };
    }
    catch (error) {
        if (error instanceof StorageError) {
            return { ...report, problem: error.message };
        }
        throw error;
    }
}

function describeSnapshot(records: unknown[]): string {
    const snapshot = records[0] as Snapshot | undefined;
    return snapshot === undefined
        ? "none"
        : `index ${snapshot.index}, term ${snapshot.term}, ${snapshot.data.length} bytes`;
}

function describeLog(records: unknown[]): string {
    const items =
        records as ({ kind: "hardState"; hardState: HardState } | { kind: "entry"; entry: LogEntry<unknown> })[];
    const entries = items.flatMap(item => item.kind === "entry" ? [item.entry] : []);
    const term = items.reduce((newest, item) => item.kind === "hardState" ? item.hardState.term : newest, 0);
    const range = entries.length === 0
        ? "no entries"
        : `entries ${entries[0].index} to ${entries[entries.length - 1].index}`;
    return `${range}, term ${term}`;
}
