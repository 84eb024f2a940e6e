import type {
    CallerLimits,
    ConfigurationUpdate,
    ConfigurationValue,
    TrafficAccount,
    TrafficRoute,
    TrafficService,
} from "@kumquathall/types";

import { type EvacuationChange, Evacuations } from "./evacuations.js";

/** The routes of one host by path prefix. */
class HostRoutes {
    private readonly routes = new Map<string, TrafficRoute>();
    /** Lengths of the prefixes, longest first. */
    private lengths: number[] = [];

    set(route: TrafficRoute): void {
        this.routes.set(route.pathPrefix, route);
        if (!this.lengths.includes(route.pathPrefix.length)) {
            this.lengths = [...this.lengths, route.pathPrefix.length].sort((left, right) => right - left);
        }
    }

    remove(route: TrafficRoute): void {
        if (this.routes.get(route.pathPrefix) === route) {
            this.routes.delete(route.pathPrefix);
        }
    }

    find(path: string): TrafficRoute | undefined {
        for (const length of this.lengths) {
            const route = length <= path.length ? this.routes.get(path.slice(0, length)) : undefined;
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }
}

/**
 * Routes, accounts and services of the newest traffic configuration received. An update costs as much as it changes, and
 * finding a route as much as the host has lengths of prefixes.
 */
export class RouteTable {
    private readonly entries = new Map<string, ConfigurationValue>();
    private readonly hosts = new Map<string, HostRoutes>();
    private readonly accountsByKey = new Map<string, TrafficAccount>();
    private readonly evacuations = new Evacuations();
    private accountCount = 0;
    private isColdDeclared = false;
    /** Shortest gap objectives by service, as far as they have been computed since the last change of a route. */
    private readonly gapObjectives = new Map<string, number | undefined>();
    private current: Extract<ConfigurationValue, { kind: "traffic" }> | undefined;

    /** Version in force; 0 before the first. */
    getVersion(): number {
        return this.current?.version ?? 0;
    }

    /** Limits on what callers may send; `undefined` before the first version. */
    getLimits(): CallerLimits | undefined {
        return this.current?.limits;
    }

    getService(name: string): TrafficService | undefined {
        return this.current?.services.find(service => service.name === name);
    }

    /** Whether any service declares a cold time. */
    hasColdService(): boolean {
        return this.isColdDeclared;
    }

    /** Whether nothing new may be sent to the endpoints of a data centre. */
    isEvacuated(dataCentre: string): boolean {
        return this.evacuations.has(dataCentre);
    }

    countEvacuated(): number {
        return this.evacuations.count();
    }

    /** Shortest objective for the interval between two events among the routes of a service, in milliseconds. */
    getShortestGapObjectiveMs(service: string): number | undefined {
        if (!this.gapObjectives.has(service)) {
            const objectives = [...this.entries.values()].flatMap(value =>
                value.kind === "trafficRoute" && value.route.targets.some(target => target.service === service)
                    ? value.route.gapObjectiveMs ?? []
                    : []
            );
            this.gapObjectives.set(service, objectives.length === 0 ? undefined : Math.min(...objectives));
        }
        return this.gapObjectives.get(service);
    }

    /**
     * Applies the changes of an update; a snapshot replaces everything. Entries of other kinds are ignored. Returns the
     * evacuations that differ.
     */
    apply(update: ConfigurationUpdate): EvacuationChange[] {
        const changes = new Map(update.changes.map(change => [change.key, change.value]));
        const replaced = update.isSnapshot ? [...this.entries.keys()] : [...changes.keys()];
        // A key may move from one account to another: everything old is removed before anything new is added.
        for (const key of replaced) {
            this.removeEntry(key);
        }
        this.gapObjectives.clear();
        for (const [key, value] of changes) {
            if (value !== undefined) {
                this.addEntry(key, value);
            }
        }
        return this.evacuations.apply(update);
    }

    /** Finds the route of a host with the longest matching path prefix; ignores the host's port and the query. */
    findRoute(host: string, target: string): TrafficRoute | undefined {
        const path = target.split("?", 1)[0];
        const name = host.toLowerCase().replace(/:\d+$/, "");
        return this.hosts.get(name)?.find(path);
    }

    findAccount(key: string | undefined): TrafficAccount | undefined {
        return key === undefined ? undefined : this.accountsByKey.get(key);
    }

    /** Whether requests need an account's key. They do where the list of accounts is present and empty. */
    hasAccounts(): boolean {
        return this.current?.requiresKeys ?? this.accountCount > 0;
    }

    private removeEntry(key: string): void {
        const value = this.entries.get(key);
        this.entries.delete(key);
        if (value?.kind === "traffic") {
            this.current = undefined;
            this.isColdDeclared = false;
        }
        else if (value?.kind === "trafficRoute") {
            this.hosts.get(value.route.host.toLowerCase())?.remove(value.route);
        }
        else if (value?.kind === "trafficAccount") {
            this.accountCount--;
            for (const accountKey of value.account.keys) {
                if (this.accountsByKey.get(accountKey) === value.account) {
                    this.accountsByKey.delete(accountKey);
                }
            }
        }
    }

    private addEntry(key: string, value: ConfigurationValue): void {
        if (!value.kind.startsWith("traffic")) {
            return;
        }
        this.entries.set(key, value);
        if (value.kind === "traffic") {
            this.current = value;
            this.isColdDeclared = value.services.some(service => service.cold !== undefined);
        }
        else if (value.kind === "trafficRoute") {
            const host = value.route.host.toLowerCase();
            const routes = this.hosts.get(host) ?? new HostRoutes();
            this.hosts.set(host, routes);
            routes.set(value.route);
        }
        else if (value.kind === "trafficAccount") {
            this.accountCount++;
            value.account.keys.forEach(accountKey => this.accountsByKey.set(accountKey, value.account));
        }
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
