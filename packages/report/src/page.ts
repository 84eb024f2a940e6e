/** Escapes text for HTML content and attribute values. */
export function encodeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

/** Renders a self-contained HTML page with inline style; `sections` are HTML fragments. */
export function renderPage(title: string, sections: string[]): string {
    return [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        `<title>${encodeHtml(title)}</title>`,
        "<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;color:#222}table{border-collapse:collapse}",
        "td,th{border:1px solid #ccc;padding:.3em .8em;text-align:right}td:first-child,th:first-child{text-align:left}svg{margin:1em 0}</style>",
        `</head><body><h1>${encodeHtml(title)}</h1>`,
        ...sections,
        "</body></html>",
        "",
    ].join("\n");
}

/** Renders an HTML table with a heading row. */
export function renderTable(headings: string[], rows: string[][]): string {
    const head = headings.map(heading => `<th>${encodeHtml(heading)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell => `<td>${encodeHtml(cell)}</td>`).join("")}</tr>`).join("");
    return `<table><tr>${head}</tr>${body}</table>`;
}
