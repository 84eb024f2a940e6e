/** Structured logging: one line of key=value pairs for each event. */
export { type BoundedWriter, type BoundedWriterOptions, createBoundedWriter } from "./boundedWriter.js";
export { type InputFault, InputFaultLog, type InputFaultLogOptions } from "./inputFaultLog.js";
export { createLogger, formatEvent, type LogFields, type Logger, type LogLevel } from "./logger.js";
