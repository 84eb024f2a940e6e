/** Prints a line to standard output. */
export function printLine(text: string = ""): void {
    process.stdout.write(`${text}\n`);
}

/** Prints a value as indented JSON. */
export function printJson(value: unknown): void {
    printLine(JSON.stringify(value, undefined, 4));
}

/** Prints rows under headings, columns as wide as their widest cell. */
export function printTable(headings: string[], rows: string[][]): void {
    const widths = headings.map((heading, at) => Math.max(heading.length, ...rows.map(row => (row[at] ?? "").length)));
    for (const row of [headings, ...rows]) {
        printLine(row.map((cell, at) => cell.padEnd(widths[at])).join("  ").trimEnd());
    }
    if (rows.length === 0) {
        printLine("(none)");
    }
}
