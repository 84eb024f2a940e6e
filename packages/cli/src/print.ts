/** Prints a line to standard output. */
export function printLine(text: string = ""): void {
    process.stdout.write(`${text}\n`);
}

/** Prints a value as indented JSON to standard output. */
export function printJson(value: unknown): void {
    printLine(JSON.stringify(value, undefined, 4));
}

/** Prints a table with aligned columns, or `(none)` below the headings if there are no rows. */
export function printTable(headings: string[], rows: string[][]): void {
    const widths = headings.map((heading, column) =>
        Math.max(heading.length, ...rows.map(row => (row[column] ?? "").length))
    );
    for (const row of [headings, ...rows]) {
        printLine(row.map((cell, column) => cell.padEnd(widths[column])).join("  ").trimEnd());
    }
    if (rows.length === 0) {
        printLine("(none)");
    }
}
