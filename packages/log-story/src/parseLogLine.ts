/** One event that a process has logged. */
export interface LogLine {
    /** Time at which the process wrote the line, by its own clock, Unix milliseconds. */
    atMs: number;
    event: string;
    /** Name of the process; empty if the line has none. */
    process: string;
    fields: Record<string, string>;
}

const KEY_VALUE_PAIR = /([\w-]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Parses the key=value pairs of a line after any prefix; returns `undefined` if `event` or a valid `at` is missing. */
export function parseLogLine(text: string): LogLine | undefined {
    const fields: Record<string, string> = {};
    for (const [, key, value] of text.matchAll(KEY_VALUE_PAIR)) {
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
        // A value of a truncated line may lack its end; the part that was written is still useful.
        return value.slice(1);
    }
}
