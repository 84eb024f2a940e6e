import { AdaptiveLimit } from "@kumquathall/admission";
import { formatGroupKey, getVm, listGroups, listVms } from "@kumquathall/control-state";
import type { Link } from "@kumquathall/link";
import { type Candidate, PrefixCacheView, StragglerDetector } from "@kumquathall/routing";
import {
    type AnnounceMessage,
    type ConfigurationValue,
    type FencingNumber,
    GroupState,
    type LoadReport,
    type PresenceItem,
    type ServiceDefinition,
    ServiceKind,
} from "@kumquathall/types";
import type { VersionedMap } from "@kumquathall/versioned-map";

/** One agent that is linked to this entry, or was a moment ago. */
export interface AgentEndpoint {
    vm: string;
    incarnation: string;
    link: Link;
    attributes: PresenceItem["attributes"];
    isLeaving: boolean;
    load: LoadReport | undefined;
    loadAt: number;
    inFlight: number;
    /** Monotonic send times of requests that the report cannot include yet. */
    recentSends: number[];
    cache: PrefixCacheView;
    limit: AdaptiveLimit;
}

/** An endpoint that can serve a service now: a replica group's head, or a plain service's VM. */
export interface ServiceEndpoint extends Candidate {
    vm: string;
    endpoint: AgentEndpoint;
    groupId: string | undefined;
    fencing: FencingNumber | undefined;
}

interface Route {
    id: string;
    vm: string;
    groupId: string | undefined;
    fencing: FencingNumber | undefined;
}

/** Everything this entry knows of endpoints: links and load from agents, groups from the configuration. */
export class EndpointTable {
    private readonly agents = new Map<string, AgentEndpoint>();
    private readonly stragglers = new StragglerDetector();
    /** Routes of each service, computed once for each revision. */
    private readonly routes = new Map<string, Route[]>();
    private routesRevision = -1;
    private readonly changed = new Set<string>();

    constructor(
        private readonly dataCentre: string,
        private readonly getConfiguration: () => VersionedMap<ConfigurationValue>,
    ) {}

    /** Records an agent's announcement. */
    handleAnnounce(message: AnnounceMessage, link: Link): void {
        const known = this.agents.get(message.vm);
        this.changed.add(message.vm);
        if (known !== undefined && known.incarnation === message.incarnation) {
            known.link = link;
            known.attributes = message.attributes;
            known.isLeaving = message.isLeaving;
            return;
        }
        this.stragglers.addEndpoint(message.vm, performance.now());
        this.agents.set(message.vm, {
            vm: message.vm,
            incarnation: message.incarnation,
            link,
            attributes: message.attributes,
            isLeaving: message.isLeaving,
            load: undefined,
            loadAt: 0,
            inFlight: 0,
            recentSends: [],
            cache: new PrefixCacheView(),
            limit: new AdaptiveLimit(),
        });
    }

    /** A link closed: its agent is absent until it announces itself again. */
    handleLinkClosed(link: Link): void {
        for (const agent of this.agents.values()) {
            if (agent.link === link) {
                this.agents.delete(agent.vm);
                this.stragglers.removeEndpoint(agent.vm);
                this.changed.add(agent.vm);
            }
        }
    }

    handleLoad(vm: string, report: LoadReport): void {
        const agent = this.agents.get(vm);
        if (agent !== undefined) {
            const now = performance.now();
            agent.load = report;
            agent.loadAt = now;
            agent.cache.replaceReported(report.cachedPrefixes, report.cacheSequence, now);
            agent.recentSends = agent.recentSends.filter(sentAt => sentAt > now - report.ageMs);
        }
    }

    getAgent(vm: string): AgentEndpoint | undefined {
        return this.agents.get(vm);
    }

    listAgents(): AgentEndpoint[] {
        return [...this.agents.values()];
    }

    /** VMs that came, went or changed since the last call, and whether each is here. */
    takePresenceChanges(isFull: boolean): { up: PresenceItem[]; down: string[] } {
        const names = isFull ? [...this.agents.keys()] : [...this.changed];
        this.changed.clear();
        const up: PresenceItem[] = [];
        const down: string[] = [];
        for (const vm of names) {
            const agent = this.agents.get(vm);
            if (agent === undefined) {
                down.push(vm);
            }
            else {
                up.push({ vm, incarnation: agent.incarnation, attributes: agent.attributes });
            }
        }
        return { up, down };
    }

    recordSend(endpoint: AgentEndpoint, prefixHashes: readonly string[]): void {
        const now = performance.now();
        endpoint.inFlight++;
        endpoint.recentSends.push(now);
        endpoint.cache.recordSent(prefixHashes, now);
    }

    recordEnd(endpoint: AgentEndpoint): void {
        endpoint.inFlight--;
    }

    /** Records the time to the first byte of an answer. */
    recordFirstByte(endpoint: AgentEndpoint, latencyMs: number): void {
        this.stragglers.recordSuccess(endpoint.vm, latencyMs, performance.now());
        endpoint.limit.recordLatency(latencyMs, endpoint.inFlight);
    }

    recordFailure(endpoint: AgentEndpoint): void {
        this.stragglers.recordFailure(endpoint.vm, performance.now());
    }

    /** Endpoints that can take a request of a service now, without the VMs named. */
    listEndpoints(service: ServiceDefinition, excludedVms: ReadonlySet<string>): ServiceEndpoint[] {
        const now = performance.now();
        const usable: ServiceEndpoint[] = [];
        const ejected: ServiceEndpoint[] = [];
        for (const route of this.findRoutes(service)) {
            const agent = this.agents.get(route.vm);
            const isPlainLeaving = agent?.isLeaving === true && route.groupId === undefined;
            if (agent === undefined || isPlainLeaving || excludedVms.has(route.vm)) {
                continue;
            }
            const endpoint = this.describeEndpoint(route, agent, now);
            (this.stragglers.isEjected(agent.vm, now) ? ejected : usable).push(endpoint);
        }
        return usable.length > 0 ? usable : ejected;
    }

    private describeEndpoint(route: Route, agent: AgentEndpoint, now: number): ServiceEndpoint {
        return {
            id: route.id,
            vm: route.vm,
            endpoint: agent,
            groupId: route.groupId,
            fencing: route.fencing,
            reportedLoad: (agent.load?.running ?? 0) + (agent.load?.queued ?? 0),
            reportAgeMs: agent.load === undefined ? 0 : agent.load.ageMs + now - agent.loadAt,
            sentSinceReport: agent.recentSends.length,
            inFlight: agent.inFlight,
            countCachedBlocks: hashes => agent.cache.countCachedBlocks(hashes, now),
            weight: this.stragglers.computeWeight(agent.vm, now),
            isSameDataCentre: agent.attributes.dataCentre === this.dataCentre,
        };
    }

    private findRoutes(service: ServiceDefinition): Route[] {
        const configuration = this.getConfiguration();
        if (this.routesRevision !== configuration.revision) {
            this.rebuildRoutes(configuration);
        }
        const name = `${service.institution}/${service.service}`;
        if (service.kind === ServiceKind.Plain) {
            // A plain service's VM is reachable as soon as control has registered it.
            return (this.routes.get(name) ?? []).filter(route => getVm(configuration, route.vm)?.present === true);
        }
        return this.routes.get(name) ?? [];
    }

    private rebuildRoutes(configuration: VersionedMap<ConfigurationValue>): void {
        this.routes.clear();
        this.routesRevision = configuration.revision;
        for (const group of listGroups(configuration)) {
            if (group.state === GroupState.Serving) {
                const route = {
                    id: formatGroupKey(group.id),
                    vm: group.vms[0],
                    groupId: group.id,
                    fencing: group.fencing,
                };
                this.addRoute(`${group.institution}/${group.service}`, route);
            }
        }
        for (const vm of listVms(configuration)) {
            if (vm.attributes.service !== undefined && vm.attributes.kind === "plain") {
                this.addRoute(vm.attributes.service, { id: vm.id, vm: vm.id, groupId: undefined, fencing: undefined });
            }
        }
    }

    private addRoute(service: string, route: Route): void {
        const known = this.routes.get(service) ?? [];
        known.push(route);
        this.routes.set(service, known);
    }
}
