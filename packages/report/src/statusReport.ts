import type { ControlStatus } from "@kumquathall/types";
import { renderPage, renderTable } from "./page.js";
import { renderBarPlot, renderLinePlot } from "./plots.js";

/** Renders each institution's group downtime and stranded accelerators from statuses sampled at a fixed interval. */
export function renderStatusReport(title: string, samples: ControlStatus[], intervalSeconds: number): string {
    const last = samples[samples.length - 1];
    const institutions = last.groupDowntimeSeconds.map(item => item.institution);
    const downtime = institutions.map(institution => ({
        label: institution,
        values: samples.map(sample =>
            sample.groupDowntimeSeconds.find(item => item.institution === institution)?.seconds ?? 0
        ),
    }));
    const hours = last.strandedAcceleratorHours.map(item => ({ label: item.institution, value: item.hours }));
    return renderPage(title, [
        renderLinePlot("Cumulative group downtime", "seconds", downtime, `every ${intervalSeconds} s`),
        renderLinePlot("Stranded accelerators", "accelerators", [{
            label: "all institutions",
            values: samples.map(sample => sample.strandedAccelerators),
        }], `every ${intervalSeconds} s`),
        renderBarPlot("Cumulative stranded accelerator hours", "h", hours),
        renderTable(["", "value"], [["leader", last.leader], ["revision", String(last.revision)], [
            "members",
            last.members.join(", "),
        ]]),
    ]);
}
