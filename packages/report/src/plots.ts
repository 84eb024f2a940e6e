import { encodeHtml } from "./page.js";

/** One bar with its label. */
export interface BarItem {
    label: string;
    value: number;
}

/** Sizes of the plots in pixels. `LEFT` and `BOTTOM` are the margins for axis labels. */
const WIDTH = 720;
const HEIGHT = 220;
const LEFT = 60;
const BOTTOM = 30;
const COLOURS = ["#2563a8", "#b4541a", "#3b7d3b", "#7b3fa0"];

/** Renders horizontal bars as SVG, scaled to the largest value. */
export function renderBarPlot(title: string, unit: string, items: BarItem[]): string {
    const rowHeight = 26;
    const largest = Math.max(...items.map(item => item.value), Number.MIN_VALUE);
    const rows = items.map((item, index) => {
        const y = index * rowHeight + 30;
        const width = Math.max(1, item.value / largest * (WIDTH - 320));
        return `<text x="0" y="${y + 15}">${encodeHtml(item.label)}</text><rect x="180" y="${y}" width="${
            width.toFixed(1)
        }" height="18" fill="${COLOURS[0]}"/>`
            + `<text x="${(190 + width).toFixed(1)}" y="${y + 15}">${formatValue(item.value)} ${
                encodeHtml(unit)
            }</text>`;
    });
    const height = items.length * rowHeight + 40;
    return `<svg width="${WIDTH}" height="${height}" role="img"><text x="0" y="16" font-weight="bold">${
        encodeHtml(title)
    }</text>${rows.join("")}</svg>`;
}

/** Renders an SVG line plot of values over time, one line for each series, with equal intervals between points. */
export function renderLinePlot(
    title: string,
    unit: string,
    series: { label: string; values: number[] }[],
    xLabel: string,
): string {
    const largest = Math.max(...series.flatMap(item => item.values), Number.MIN_VALUE);
    const plotWidth = WIDTH - LEFT - 10;
    const plotHeight = HEIGHT - BOTTOM - 30;
    const lines = series.map((item, index) => {
        const step = plotWidth / Math.max(1, item.values.length - 1);
        const points = item.values.map((value, pointIndex) =>
            `${(LEFT + pointIndex * step).toFixed(1)},${(30 + plotHeight * (1 - value / largest)).toFixed(1)}`
        );
        const colour = COLOURS[index % COLOURS.length];
        return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(" ")}"/>`
            + `<text x="${LEFT + 10 + index * 160}" y="${HEIGHT - 4}" fill="${colour}">${
                encodeHtml(item.label)
            }</text>`;
    });
    const baseY = 30 + plotHeight;
    return `<svg width="${WIDTH}" height="${HEIGHT}" role="img"><text x="0" y="16" font-weight="bold">${
        encodeHtml(title)
    }</text>`
        + `<line x1="${LEFT}" y1="30" x2="${LEFT}" y2="${baseY}" stroke="#888"/><line x1="${LEFT}" y1="${baseY}" x2="${
            WIDTH - 10
        }" y2="${baseY}" stroke="#888"/>`
        + `<text x="0" y="40">${formatValue(largest)} ${encodeHtml(unit)}</text><text x="${
            LEFT - 15
        }" y="${baseY}">0</text>`
        + `<text x="${WIDTH - 90}" y="${HEIGHT - 4}">${encodeHtml(xLabel)}</text>${lines.join("")}</svg>`;
}

function formatValue(value: number): string {
    return value >= 1000 ? Math.round(value).toLocaleString("en-US") : Number(value.toPrecision(3)).toString();
}
