import type { LatencySummary, LoadResult } from "@kumquathall/load";
import { renderPage, renderTable } from "./page.js";
import { renderBarPlot, renderLinePlot } from "./plots.js";

/** Renders one run of the load generator: outcomes, latencies, completed requests over time. */
export function renderLoadReport(title: string, result: LoadResult): string {
    const outcomes = [
        { label: "complete", value: result.complete },
        { label: "not run", value: result.notRun },
        { label: "unknown", value: result.unknown },
        { label: "lost", value: result.lost },
        { label: "wrong", value: result.wrong },
    ];
    const buildRow = (
        name: string,
        summary: LatencySummary,
    ) => [
        name,
        String(summary.count),
        ...[summary.p50, summary.p95, summary.p99, summary.max].map(value => value.toFixed(2)),
    ];
    return renderPage(title, [
        renderBarPlot("Outcomes", "requests", outcomes),
        "<h2>Latencies in milliseconds, from the planned arrival</h2>",
        renderTable(["", "count", "p50", "p95", "p99", "max"], [
            buildRow("first byte", result.firstToken),
            buildRow("between chunks", result.betweenTokens),
            buildRow("complete answer", result.total),
        ]),
        renderLinePlot("Completed requests", "per second", [{
            label: "complete",
            values: result.completedPerSecond.map(value => value ?? 0),
        }], "seconds"),
        ...(result.codes.length === 0
            ? []
            : [renderBarPlot(
                "Refusals by code",
                "requests",
                result.codes.map(item => ({ label: item.code, value: item.count })),
            )]),
    ]);
}
