import type {
    ChangeTrafficCommand,
    ConfigurationValue,
    TrafficAccount,
    TrafficConfiguration,
    TrafficRoute,
} from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";
import { TRAFFIC_KEY } from "./lookup.js";

export type TrafficChange = ChangeTrafficCommand["changes"][number];

/** Lists the configuration entries of a traffic configuration by key. */
export function listTrafficEntries(traffic: TrafficConfiguration): Map<string, ConfigurationValue> {
    const { version, limits, services, routes, accounts, requiresKeys } = traffic;
    const entries = new Map<string, ConfigurationValue>([[TRAFFIC_KEY, {
        kind: "traffic",
        version,
        limits,
        services,
        ...requiresKeys === undefined ? {} : { requiresKeys },
    }]]);
    for (const route of routes) {
        entries.set(formatRouteKey(route), { kind: "trafficRoute", route });
    }
    for (const account of accounts) {
        // Accounts may share a name; each keeps its own keys and priority.
        let key = formatAccountKey(account, 0);
        for (let copy = 1; entries.has(key); copy++) {
            key = formatAccountKey(account, copy);
        }
        entries.set(key, { kind: "trafficAccount", account });
    }
    return entries;
}

/** Computes what a traffic configuration changes in the entries in force. */
export function computeTrafficChanges(
    configuration: VersionedMap<ConfigurationValue>,
    traffic: TrafficConfiguration,
): TrafficChange[] {
    const next = listTrafficEntries(traffic);
    const changes: TrafficChange[] = [];
    for (const [key, entry] of configuration.entries) {
        if (entry.value !== undefined && isTrafficKey(key) && !next.has(key)) {
            changes.push({ key, value: undefined });
        }
    }
    for (const [key, value] of next) {
        const current = configuration.entries.get(key)?.value;
        if (current === undefined || JSON.stringify(current) !== JSON.stringify(value)) {
            changes.push({ key, value });
        }
    }
    return changes;
}

function isTrafficKey(key: string): boolean {
    return key === TRAFFIC_KEY || key.startsWith(`${TRAFFIC_KEY}/`);
}

function formatRouteKey(route: TrafficRoute): string {
    return `${TRAFFIC_KEY}/route/${route.host.toLowerCase()} ${route.pathPrefix}`;
}

function formatAccountKey(account: TrafficAccount, copy: number): string {
    return `${TRAFFIC_KEY}/account/${copy}/${account.name}`;
}
