import type { TrafficAccount, TrafficConfiguration, TrafficRoute, TrafficService } from "@kumquathall/types";

/** Looks up routes, accounts and services of one traffic configuration. */
export class RouteTable {
    private readonly routesByHost = new Map<string, TrafficRoute[]>();
    private readonly accountsByKey = new Map<string, TrafficAccount>();
    private readonly services = new Map<string, TrafficService>();

    constructor(readonly configuration: TrafficConfiguration) {
        for (const route of configuration.routes) {
            const host = route.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        for (const account of configuration.accounts) {
            account.keys.forEach(key => this.accountsByKey.set(key, account));
        }
        configuration.services.forEach(service => this.services.set(service.name, service));
    }

    /** Finds the route of a host with the longest matching path prefix; ignores the host's port and the query. */
    findRoute(host: string, target: string): TrafficRoute | undefined {
        const path = target.split("?", 1)[0];
        const name = host.toLowerCase().replace(/:\d+$/, "");
        return this.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }

    findAccount(key: string | undefined): TrafficAccount | undefined {
        return key === undefined ? undefined : this.accountsByKey.get(key);
    }

    /** Whether requests need an account's key. */
    hasAccounts(): boolean {
        return this.configuration.accounts.length > 0;
    }

    getService(name: string): TrafficService | undefined {
        return this.services.get(name);
    }
}

/** Chooses the service of a target at random by weight. `random` is in [0, 1). */
export function chooseTarget(route: TrafficRoute, random: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = random * total;
    for (const target of route.targets) {
        left -= target.weight;
        if (left < 0) {
            return target.service;
        }
    }
    return route.targets[route.targets.length - 1].service;
}
