import { describeError } from "@kumquathall/errors";
import type { LinkHandlers } from "@kumquathall/link";
import { InputFaultLog } from "@kumquathall/logger";
import { Counter } from "prom-client";
import type { RoleContext } from "./plugin.js";

const COUNTER_NAME = "kumquathall_input_refused_total";

/** Creates the log of input that a role refuses; all roles of a process share its counter. */
export function createInputFaultLog({ logger, metrics }: Pick<RoleContext, "logger" | "metrics">): InputFaultLog {
    const counter = metrics.getSingleMetric(COUNTER_NAME) as Counter<"kind" | "reason"> | undefined
        ?? new Counter({
            name: COUNTER_NAME,
            help: "Input of other writers that was refused or dropped, by what it is and the reason",
            labelNames: ["kind", "reason"],
            registers: [metrics],
        });
    return new InputFaultLog({ logger, onFault: ({ kind, reason }) => counter.inc({ kind, reason }) });
}

/** Creates the handler that counts and logs the messages of links that can't be handled. */
export function createLinkFaultHandler(faults: InputFaultLog): NonNullable<LinkHandlers["onFault"]> {
    return (link, { kind, error }) =>
        faults.record({
            kind: `link-${kind}`,
            reason: "it can't be handled",
            writer: link.peer?.id ?? "",
            message: describeError(error),
        });
}
