import { type LogLine, parseLogLine } from "@kumquathall/log-story";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";

/** Reads the log lines of files whose text `isWanted` accepts; keeping every line could exhaust the memory. */
export async function readLogLines(files: string[], isWanted: (text: string) => boolean): Promise<LogLine[]> {
    const lines: LogLine[] = [];
    for (const file of files) {
        for await (const text of createInterface({ input: createReadStream(file) })) {
            const line = isWanted(text) ? parseLogLine(text) : undefined;
            if (line !== undefined) {
                lines.push(line);
            }
        }
    }
    return lines;
}
