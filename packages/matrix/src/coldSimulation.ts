import { LimitTask } from "@kumquathall/control";
import { ColdEndpoints, type ColdView, EndpointLimits, PermitClient } from "@kumquathall/gateway";
import type { Link } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { ColdFact, PermitWant, TrafficService } from "@kumquathall/types";
import { createRandom } from "./random.js";

export interface ColdSimulationOptions {
    seed: number;
    gateways: number;
    endpoints: number;
    /** Requests a second from all callers, spread unevenly over the gateways. */
    requestsPerSecond: number;
    durationMs: number;
    perSecond: number;
    /** Whether responses say that their endpoint is cold; otherwise only heartbeats do. */
    isInResponses: boolean;
    /** Whether the service declares a cold time; if not, nothing limits what cold endpoints receive. */
    isDeclared: boolean;
}

interface SimulatedEndpoint {
    coldUntil: number;
    /** Times at which it was cold and received a request. */
    coldArrivals: number[];
    coldSince: number;
}

interface SimulatedGateway {
    cold: ColdEndpoints;
    limits: EndpointLimits;
    views: Map<string, ColdView>;
    links: Link[];
    isCut: boolean;
    hasContact: boolean;
}

/** Time between the requests of two steps, in milliseconds. */
export const COLD_STEP_MS = 2;
const SERVICE = "s";
const DATA_CENTRE = "d";
const MEMBERS = 3;
const MESSAGE_MS = 1;
/** Time of a heartbeat to a gateway: control collects facts for 50 ms. */
const HEARTBEAT_DELAY_MS = 55;
const HEARTBEAT_MS = 1200;
/** Time until both ends of a link detect that it is cut. */
const LINK_SILENCE_MS = 1800;
const MIN_RESPONSE_MS = 15;
const RESPONSE_SPREAD_MS = 40;
const OBJECTIVE_MS = 300;
const FIRST_GATEWAY_SHARE = 0.2;
const MS_PER_SECOND = 1000;

/**
 * Gateways, control members and endpoints that become cold, in virtual time. Every gateway prefers one endpoint, as all of
 * them do for one that has just become idle.
 */
export class ColdSimulation {
    readonly endpoints: SimulatedEndpoint[];
    /** Requests that were sent, and those that were given up for lack of a permit. */
    sent = 0;
    refused = 0;
    private readonly members: LimitTask[] = [];
    private readonly gateways: SimulatedGateway[] = [];
    private readonly timers = new Set<NodeJS.Timeout>();
    private readonly random: () => number;
    private readonly service: TrafficService;
    private leader: number | undefined = 0;
    private former = 0;
    private term = 1;

    constructor(private readonly options: ColdSimulationOptions) {
        this.random = createRandom(options.seed);
        const { durationMs, perSecond, isDeclared } = options;
        const cold = isDeclared ? { cold: { durationMs, perSecond } } : {};
        this.service = { name: SERVICE, maxConnections: 64, engine: undefined, ...cold };
        this.endpoints = Array.from({ length: options.endpoints }, () => ({
            coldUntil: Number.NEGATIVE_INFINITY,
            coldArrivals: [],
            coldSince: Number.NEGATIVE_INFINITY,
        }));
        for (let at = 0; at < MEMBERS; at++) {
            this.members.push(this.createMember(at));
        }
        for (let at = 0; at < options.gateways; at++) {
            this.gateways.push(this.createGateway(at));
            this.attach(at);
        }
        this.endpoints.forEach((_, at) => this.startHeartbeats(at));
    }

    /** Sends the requests of one step, whose time the caller lets pass. */
    sendRequests(): void {
        const expected = this.options.requestsPerSecond * COLD_STEP_MS / MS_PER_SECOND;
        const count = Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
        for (let at = 0; at < count; at++) {
            const isFirst = this.random() < FIRST_GATEWAY_SHARE;
            const gateway = isFirst ? 0 : Math.floor(this.random() * this.gateways.length);
            this.sendRequest(gateway, performance.now() + OBJECTIVE_MS);
        }
    }

    /** Lets an endpoint become cold now. */
    startCold(at: number): void {
        const now = performance.now();
        Object.assign(this.endpoints[at], { coldSince: now, coldUntil: now + this.options.durationMs });
    }

    /** Ends the leader; its process restarts without anything that it knew. */
    removeLeader(): void {
        this.former = this.leader ?? 0;
        this.leader = undefined;
        this.members[this.former].close();
        this.members[this.former] = this.createMember(this.former);
    }

    startLeader(): void {
        this.term++;
        this.leader = (this.former + 1) % MEMBERS;
        this.gateways.forEach((gateway, at) => gateway.isCut || this.attach(at));
    }

    /** Cuts a gateway off from all control members, which both sides detect later. */
    startCut(at: number): void {
        const gateway = this.gateways[at];
        gateway.isCut = true;
        this.schedule(LINK_SILENCE_MS, () => this.removeLinks(at));
    }

    /** Ends the cuts of all gateways. */
    endCuts(): void {
        this.gateways.forEach((gateway, at) => {
            if (gateway.isCut) {
                gateway.isCut = false;
                this.attach(at);
            }
        });
    }

    /** Records at all gateways that the evacuation of the data centre is withdrawn. */
    recordReturn(): void {
        this.gateways.forEach(gateway => gateway.cold.recordReturn(DATA_CENTRE, performance.now()));
    }

    close(): void {
        this.timers.forEach(timer => clearTimeout(timer));
        this.members.forEach(member => member.close());
        this.gateways.forEach(({ limits, cold }) => [limits, cold].forEach(item => item.close()));
    }

    private schedule(ms: number, run: () => void): void {
        const timer = setTimeout(() => {
            this.timers.delete(timer);
            run();
        }, ms);
        this.timers.add(timer);
    }

    private createMember(at: number): LimitTask {
        const getState = () => ({
            id: `m${at}`,
            leaderId: this.leader === undefined ? undefined : `m${this.leader}`,
            hardState: { term: this.term },
        });
        const runtime = { getState, canServe: () => this.leader === at };
        return new LimitTask({
            runtime: runtime as unknown as ConstructorParameters<typeof LimitTask>[0]["runtime"],
            logger: createLogger({ write: () => undefined }),
            hasEndpoint: () => true,
        });
    }

    private createGateway(at: number): SimulatedGateway {
        const logger = createLogger({ write: () => undefined });
        const countGateways = () => this.gateways.filter(gateway => !gateway.isCut).length;
        const views = new Map(
            this.endpoints.map((_, endpoint): [string, ColdView] => [
                `e${endpoint}`,
                { service: SERVICE, dataCentre: DATA_CENTRE, heartbeatAt: performance.now() },
            ]),
        );
        const cold: ColdEndpoints = new ColdEndpoints({
            logger,
            findView: endpoint => views.get(endpoint),
            getService: () => this.service,
            hasContact: () => this.gateways[at].hasContact,
            countGateways,
            sendAll: facts => this.castToMembers(at, facts),
            onCold: endpoint => limits.restartPermits(endpoint, performance.now()),
        });
        const client = new PermitClient(() => this.listLinks(at));
        const limits: EndpointLimits = new EndpointLimits({
            logger,
            sendAll: () => undefined,
            takePermits: wants => client.take(wants),
            countGateways,
            cold,
            random: this.random,
        });
        return { cold, limits, views, links: [], isCut: false, hasContact: true };
    }

    private castToMembers(gateway: number, facts: ColdFact[]): void {
        if (!this.gateways[gateway].isCut) {
            this.schedule(MESSAGE_MS, () => this.members.forEach(member => member.recordColds(facts)));
        }
    }

    private attach(at: number): void {
        this.removeLinks(at);
        const gateway = this.gateways[at];
        gateway.hasContact = true;
        gateway.links = this.members.map(member => {
            const cast = ({ facts }: { facts: ColdFact[] }) =>
                this.schedule(MESSAGE_MS, () => gateway.isCut || gateway.cold.record(facts, performance.now()));
            const link = { peer: { id: `g${at}` }, cast } as unknown as Link;
            member.watch(link);
            return link;
        });
        // The facts about all endpoints arrive before the gateway counts as in contact.
        this.endpoints.forEach((_, endpoint) => this.deliverHeartbeat(at, endpoint, performance.now()));
    }

    private removeLinks(at: number): void {
        const gateway = this.gateways[at];
        gateway.hasContact = !gateway.isCut;
        gateway.links.forEach(link => this.members.forEach(member => member.removeLink(link)));
        gateway.links = [];
    }

    private listLinks(at: number): Link[] {
        return this.members.map((_, member) => {
            const call = async ({ wants }: { wants: PermitWant[] }) => {
                await this.wait(MESSAGE_MS);
                const answer = this.members[member].grant(`g${at}`, wants);
                await this.wait(MESSAGE_MS);
                if (this.gateways[at].isCut) {
                    throw new Error("the call has timed out");
                }
                return answer;
            };
            return { peer: { id: `m${member}` }, call } as unknown as Link;
        });
    }

    private wait(ms: number): Promise<void> {
        return new Promise(resolve => this.schedule(ms, resolve));
    }

    private startHeartbeats(endpoint: number): void {
        const sendNext = () => {
            const sentAt = performance.now();
            this.schedule(HEARTBEAT_DELAY_MS, () => {
                this.gateways.forEach((gateway, at) => gateway.isCut || this.deliverHeartbeat(at, endpoint, sentAt));
            });
            this.schedule(HEARTBEAT_MS, sendNext);
        };
        this.schedule(this.random() * HEARTBEAT_MS, sendNext);
    }

    private deliverHeartbeat(gateway: number, endpoint: number, sentAt: number): void {
        const { views, cold } = this.gateways[gateway];
        const view = views.get(`e${endpoint}`);
        const { coldSince, coldUntil } = this.endpoints[endpoint];
        const leftMs = sentAt >= coldSince ? Math.max(0, coldUntil - sentAt) : 0;
        const now = performance.now();
        Object.assign(view ?? {}, { heartbeatAt: now, coldUntil: leftMs > 0 ? now + leftMs : undefined });
        cold.check(`e${endpoint}`, now);
    }

    /** Sends to the first endpoint that takes the request, or waits for a permit until `objectiveAt`. */
    private sendRequest(gateway: number, objectiveAt: number, afterCall?: number): void {
        const now = performance.now();
        const { limits } = this.gateways[gateway];
        const names = this.endpoints.map((_, at) => `e${at}`);
        const permitted = names.filter(name => limits.hasPermit(name, now));
        const counts = permitted.map(name => limits.countAboveColdShare(name, now));
        const endpoint = permitted.find((_, at) => counts[at] === Math.min(...counts));
        if (endpoint !== undefined) {
            limits.takePermit(endpoint, now);
            this.runRequest(gateway, names.indexOf(endpoint));
        }
        if (permitted[0] !== names[0]) {
            // The preferred endpoint is asked for while the request goes elsewhere.
            const calls = limits.askForPermit(names[0], now, afterCall);
            const waitMs = limits.getWaitMs(names[0], now);
            if (endpoint === undefined && now + waitMs <= objectiveAt) {
                this.waitForPermit(gateway, objectiveAt, calls, waitMs);
            }
            else if (endpoint === undefined) {
                this.refused++;
            }
        }
    }

    private waitForPermit(gateway: number, objectiveAt: number, afterCall: number, waitMs: number): void {
        const choose = () => {
            clearTimeout(timer);
            this.timers.delete(timer);
            cancel();
            this.sendRequest(gateway, objectiveAt, afterCall);
        };
        const timer = setTimeout(choose, Math.max(COLD_STEP_MS, waitMs === 0 ? OBJECTIVE_MS : waitMs));
        this.timers.add(timer);
        const cancel = this.gateways[gateway].limits.waitForPermits(choose);
    }

    private runRequest(gateway: number, at: number): void {
        const endpoint = this.endpoints[at];
        const sentAt = performance.now();
        this.sent++;
        if (sentAt < endpoint.coldUntil) {
            endpoint.coldArrivals.push(sentAt);
        }
        if (this.options.isInResponses) {
            this.schedule(MIN_RESPONSE_MS + this.random() * RESPONSE_SPREAD_MS, () => {
                const leftMs = endpoint.coldUntil - performance.now();
                if (leftMs > 0) {
                    this.gateways[gateway].limits.recordCold(`e${at}`, leftMs, performance.now());
                }
            });
        }
    }
}
