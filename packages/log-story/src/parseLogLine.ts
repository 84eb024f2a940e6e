/** One event that a process has logged. */
export interface LogLine {
    /** Time of day of the process that wrote it, Unix milliseconds. */
    atMs: number;
    event: string;
    process: string;
    fields: Record<string, string>;
}

const PAIR = /([\w-]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Reads a line of key=value pairs, whatever stands in front of them; `undefined` if it holds no event with a time. */
export function parseLogLine(text: string): LogLine | undefined {
    const fields: Record<string, string> = {};
    for (const [, key, value] of text.matchAll(PAIR)) {
        fields[key] = value.startsWith('"') ? readQuoted(value) : value;
    }
    const atMs = Date.parse(fields.at);
    if (fields.event === undefined || Number.isNaN(atMs)) {
        return undefined;
    }
    return { atMs, event: fields.event, process: fields.process ?? "", fields };
}

function readQuoted(value: string): string {
    try {
        return String(JSON.parse(value));
    }
    catch {
        // A line that was cut off inside a value still tells what it holds.
        return value.slice(1);
    }
}
