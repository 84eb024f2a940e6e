import { listGroups, listServices } from "@kumquathall/control-state";
import type { ConfigurationReader } from "./configurationReader.js";
import type { EndpointTable } from "./endpointTable.js";

/** Renders the read-only status page: services, replica groups and endpoints. Contains no request data. */
export function renderStatusPage(reader: ConfigurationReader, endpoints: EndpointTable): string {
    const configuration = reader.getConfiguration();
    const services = listServices(configuration).map(service => [
        `${service.institution}/${service.service}`,
        String(service.version),
        service.kind,
        String(service.capacity.groups),
        String(service.capacity.concurrentRequests),
    ]);
    const groups = listGroups(configuration).map(
        group => [
            group.id,
            `${group.institution}/${group.service}`,
            group.state,
            group.vms.join(" "),
            group.reason ?? "",
        ],
    );
    const agents = endpoints.listAgents().map(
        agent => [
            agent.vm,
            agent.attributes.dataCentre,
            agent.isLeaving ? "leaving" : "connected",
            String(agent.inFlight),
        ],
    );
    const leaseMs = Math.round(reader.getLeaseMs(performance.now()));
    return [
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>kumquathall</title>',
        "<style>body{font:15px sans-serif;margin:2em}table{border-collapse:collapse;margin-bottom:2em}td,th{border:1px solid #bbb;padding:.3em .7em;text-align:left}</style>",
        `</head><body><h1>kumquathall</h1><p>Configuration revision ${configuration.revision}, confirmed for ${leaseMs} ms more.</p>`,
        renderTable("Services", ["Service", "Version", "Kind", "Groups", "Concurrent requests"], services),
        renderTable("Replica groups", ["Group", "Service", "State", "VMs", "Reason"], groups),
        renderTable("Endpoints", ["VM", "Data centre", "State", "In flight from this entry"], agents),
        "</body></html>",
    ].join("\n");
}

function renderTable(title: string, columns: string[], rows: string[][]): string {
    const head = columns.map(column => `<th>${encodeHtml(column)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell => `<td>${encodeHtml(cell)}</td>`).join("")}</tr>`).join("");
    return `<h2>${encodeHtml(title)}</h2><table><tr>${head}</tr>${body}</table>`;
}

function encodeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
