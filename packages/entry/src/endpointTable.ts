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

/** A connected agent and its state as seen by this entry. */
export interface AgentEndpoint {
    vm: string;
    incarnation: string;
    link: Link;
    attributes: PresenceItem["attributes"];
    isLeaving: boolean;
    load: LoadReport | undefined;
    /** Monotonic time at which the load report arrived. */
    loadReceivedAt: number;
    /** Requests in flight from this entry. */
    inFlight: number;
    /** Monotonic send times of requests that were sent after the load report was taken. */
    unreportedSends: number[];
    cache: PrefixCacheView;
    limit: AdaptiveLimit;
}

/** An endpoint that can serve a service: the head of a replica group, or the VM of a plain service. */
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

/** Combines the state of connected agents with the replica groups of the configuration. */
export class EndpointTable {
    private readonly agents = new Map<string, AgentEndpoint>();
    private readonly stragglers = new StragglerDetector();
    /** Routes by service name, recomputed when the configuration revision changes. */
    private readonly routes = new Map<string, Route[]>();
    private routesRevision = -1;
    /** VMs whose presence changed since the last report to control. */
    private readonly changedVms = new Set<string>();

    constructor(
        private readonly dataCentre: string,
        private readonly getConfiguration: () => VersionedMap<ConfigurationValue>,
    ) {}

    /** Adds or updates the agent that sent the announcement. */
    handleAnnounce(message: AnnounceMessage, link: Link): void {
        const known = this.agents.get(message.vm);
        this.changedVms.add(message.vm);
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
            loadReceivedAt: 0,
            inFlight: 0,
            unreportedSends: [],
            cache: new PrefixCacheView(),
            limit: new AdaptiveLimit(),
        });
    }

    /** Removes the agents of a closed link until they announce themselves again. */
    handleLinkClosed(link: Link): void {
        for (const agent of this.agents.values()) {
            if (agent.link === link) {
                this.agents.delete(agent.vm);
                this.stragglers.removeEndpoint(agent.vm);
                this.changedVms.add(agent.vm);
            }
        }
    }

    handleLoad(vm: string, report: LoadReport): void {
        const agent = this.agents.get(vm);
        if (agent !== undefined) {
            const now = performance.now();
            agent.load = report;
            agent.loadReceivedAt = now;
            agent.cache.replaceReported(report.cachedPrefixes, report.cacheSequence, now);
            agent.unreportedSends = agent.unreportedSends.filter(sentAt => sentAt > now - report.ageMs);
        }
    }

    getAgent(vm: string): AgentEndpoint | undefined {
        return this.agents.get(vm);
    }

    listAgents(): AgentEndpoint[] {
        return [...this.agents.values()];
    }

    /** Takes the presence changes since the last call, or with `isFull` the presence of all agents. */
    takePresenceChanges(isFull: boolean): { up: PresenceItem[]; down: string[] } {
        const names = isFull ? [...this.agents.keys()] : [...this.changedVms];
        this.changedVms.clear();
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
        endpoint.unreportedSends.push(now);
        endpoint.cache.recordSent(prefixHashes, now);
    }

    recordEnd(endpoint: AgentEndpoint): void {
        endpoint.inFlight--;
    }

    /** Records the time to the first byte of a response. */
    recordFirstByte(endpoint: AgentEndpoint, latencyMs: number): void {
        this.stragglers.recordSuccess(endpoint.vm, latencyMs, performance.now());
        endpoint.limit.recordLatency(latencyMs, endpoint.inFlight);
    }

    recordFailure(endpoint: AgentEndpoint): void {
        this.stragglers.recordFailure(endpoint.vm, performance.now());
    }

    /**
     * Lists the available endpoints of a service, without the excluded VMs. Endpoints that are ejected as stragglers
     * are only returned if there are no others.
     */
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
            reportAgeMs: agent.load === undefined ? 0 : agent.load.ageMs + now - agent.loadReceivedAt,
            sentSinceReport: agent.unreportedSends.length,
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
            // The VM of a plain service serves as soon as control has registered it as present.
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
        const routes = this.routes.get(service) ?? [];
        routes.push(route);
        this.routes.set(service, routes);
    }
}
