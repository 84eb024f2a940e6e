import type { MatrixCell } from "./matrixCell.js";

/** Result of a cell, as the page shows it. */
export interface CellOutcome {
    cell: MatrixCell;
    result: string;
}

/** Renders docs/FAULTS.md: a table for each operation, faults by steps, and why cells cannot occur. */
export function renderFaultsPage(outcomes: CellOutcome[]): string {
    const operations = [...new Set(outcomes.map(outcome => outcome.cell.operation))];
    const reasons = [...new Set(outcomes.flatMap(outcome => outcome.cell.impossible ?? []))];
    const describe = (outcome: CellOutcome | undefined) => {
        if (outcome?.cell.impossible !== undefined) {
            return `(${reasons.indexOf(outcome.cell.impossible) + 1})`;
        }
        return outcome?.result ?? "";
    };
    const tables = operations.flatMap(operation => {
        const cells = outcomes.filter(outcome => outcome.cell.operation === operation);
        const steps = [...new Set(cells.map(outcome => outcome.cell.step))];
        const faults = [...new Set(cells.map(outcome => outcome.cell.fault))];
        return [
            `## ${operation}`,
            "",
            `| fault | ${steps.join(" | ")} |`,
            `| --- |${steps.map(() => " --- |").join("")}`,
            ...faults.map(fault =>
                `| ${fault} | ${
                    steps.map(step =>
                        describe(cells.find(outcome => outcome.cell.fault === fault && outcome.cell.step === step))
                    ).join(" | ")
                } |`
            ),
            "",
        ];
    });
    return [
        "# Which faults are tried at which steps",
        "",
        "Rendered by `npm run matrix -- --page`. Every cell runs real role code (consensus, storage, state machine, run manager, exchange) in virtual",
        "time over a fake network, disk and engine, with seed 1. After the fault everything is healed and the caller or operator sends again.",
        "A publish must be in force once, on every member, with one audit record and the same answer to a resend; an order must run at most once;",
        "what was told as not run must not have run; what was called complete must be whole. A number in brackets says why a cell cannot occur.",
        "",
        ...tables,
        ...reasons.map((reason, at) => `${at + 1}. ${reason}`),
        "",
    ].join("\n");
}
