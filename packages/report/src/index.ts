/** HTML reports with plots. */
export { renderLoadReport } from "./loadReport.js";
export { renderMeasuresReport } from "./measuresReport.js";
export { encodeText, renderPage, renderTable } from "./page.js";
export { type BarItem, renderBarPlot, renderLinePlot } from "./plots.js";
