import { describeError } from "@kumquathall/errors";
import type { LogFields } from "@kumquathall/logger";

/** Describes an unexpected error for a log line. */
export function describeFailure(error: unknown): LogFields {
    return { message: describeError(error), stack: error instanceof Error ? error.stack : undefined };
}
