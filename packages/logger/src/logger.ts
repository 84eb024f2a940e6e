import { Logger as TsLogger } from "tslog";

export const LOG_LEVELS = ["debug", "info", "warn", "error"] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Fields of one event. They must never hold prompts, bodies or keys. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** Writes events to the log. `event` is a stable name in kebab case. */
export interface Logger {
    debug(event: string, fields?: LogFields): void;
    info(event: string, fields?: LogFields): void;
    warn(event: string, fields?: LogFields): void;
    error(event: string, fields?: LogFields): void;
    /** Returns a logger that adds `fields` to every event. */
    with(fields: LogFields): Logger;
}

export interface LoggerOptions {
    /** Events below this level are dropped. */
    level?: LogLevel;
    fields?: LogFields;
    /** Receives each formatted line, without a line break. */
    write?: (line: string) => void;
}

const TSLOG_LEVEL: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 };
const PLAIN_VALUE = /^[\w.:/@+-]+$/;

/** Formats one event as a line of key=value pairs; values with other characters are quoted as JSON. */
export function formatEvent(at: string, level: LogLevel, event: string, fields: LogFields): string {
    const parts = [`at=${at}`, `level=${level}`, `event=${event}`];
    for (const [key, value] of Object.entries(fields)) {
        if (value !== undefined) {
            const text = String(value);
            parts.push(`${key}=${PLAIN_VALUE.test(text) ? text : JSON.stringify(text)}`);
        }
    }
    return parts.join(" ");
}

/** Creates a logger, which writes to standard error unless `options.write` is given. */
export function createLogger(options: LoggerOptions = {}): Logger {
    const write = options.write ?? (line => process.stderr.write(line + "\n"));
    const inner = new TsLogger<unknown>({
        type: "hidden",
        minLevel: TSLOG_LEVEL[options.level ?? "info"],
        hideLogPositionForProduction: true,
    });
    // A tslog transport receives a log object, not the formatted line, which is therefore passed in a variable.
    let pendingLine = "";
    inner.attachTransport(() => write(pendingLine));
    return buildLogger(inner, options.fields ?? {}, line => {
        pendingLine = line;
    });
}

function buildLogger(inner: TsLogger<unknown>, base: LogFields, setPendingLine: (line: string) => void): Logger {
    const emit = (level: LogLevel) => (event: string, fields: LogFields = {}) => {
        if (inner.settings.minLevel > TSLOG_LEVEL[level]) {
            return;
        }
        setPendingLine(formatEvent(new Date().toISOString(), level, event, { ...base, ...fields }));
        inner[level](event);
    };
    return {
        debug: emit("debug"),
        info: emit("info"),
        warn: emit("warn"),
        error: emit("error"),
        with: fields => buildLogger(inner, { ...base, ...fields }, setPendingLine),
    };
}
