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

export interface FactSelection<Fact> {
    faults: InputFaultLog;
    kind: string;
    writer: string;
    facts: Fact[];
    /** Returns what makes a fact unusable; `undefined` if it can be used. */
    findFault: (fact: unknown) => string | undefined;
}

/** Selects the facts of a message that can be used; the others are counted and logged. */
export function selectUsable<Fact>({ faults, kind, writer, facts, findFault }: FactSelection<Fact>): Fact[] {
    return facts.filter(fact => {
        const reason = findFault(fact);
        if (reason !== undefined) {
            faults.record({ kind, reason, writer });
        }
        return reason === undefined;
    });
}
