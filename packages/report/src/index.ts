/** HTML reports with tables and plots. */
export { renderLoadReport } from "./loadReport.js";
export { encodeHtml, renderPage, renderTable } from "./page.js";
export { type BarItem, renderBarPlot, renderLinePlot } from "./plots.js";
export { renderStatusReport } from "./statusReport.js";
