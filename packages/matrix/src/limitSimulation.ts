import { LimitTask } from "@kumquathall/control";
import { EndpointLimits, PermitClient } from "@kumquathall/gateway";
import type { Link } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { LimitFact, PermitWant } from "@kumquathall/types";
import { createRandom } from "./random.js";

export interface LimitSimulationOptions {
    seed: number;
    members: number;
    gateways: number;
    endpoints: number;
    /** Requests a second from all callers, spread unevenly over the gateways. */
    requestsPerSecond: number;
    /** Requests a second that each endpoint names from `limitFromMs` to `limitToMs`. */
    limit: number;
    limitFromMs: number;
    limitToMs: number;
}

/** One request that an endpoint has got. */
export interface LimitArrival {
    at: number;
    gateway: number;
    /** The gateway has not been cut off or started within the time for contact. */
    isInContact: boolean;
}

interface SimulatedMember {
    task: LimitTask;
    isCut: boolean;
}

interface SimulatedGateway {
    limits: EndpointLimits;
    isCut: boolean;
    /** Time until which the gateway counts as out of contact. */
    excusedUntil: number;
}

/** Time between the requests of two steps, in milliseconds. */
export const STEP_MS = 2;
/** Time of a message between two processes, in milliseconds. */
const MESSAGE_MS = 1;
const MIN_RESPONSE_MS = 5;
const RESPONSE_SPREAD_MS = 100;
const CONTACT_MS = 3000;
/** Longest wait of a request for a permit, in milliseconds. */
const OBJECTIVE_MS = 300;
/** Part of all requests that the first gateway gets. */
const FIRST_GATEWAY_SHARE = 0.3;
const MS_PER_SECOND = 1000;

/** Gateways, control members and endpoints with limits, in virtual time; messages take a moment and are lost in cuts. */
export class LimitSimulation {
    /** What each endpoint has got. */
    readonly arrivals: LimitArrival[][];
    readonly startedAt = performance.now();
    private readonly members: SimulatedMember[] = [];
    private readonly gateways: SimulatedGateway[] = [];
    private readonly random: () => number;
    private leader: number | undefined = 0;
    private former = 0;
    private term = 1;

    constructor(private readonly options: LimitSimulationOptions) {
        this.random = createRandom(options.seed);
        this.arrivals = Array.from({ length: options.endpoints }, () => []);
        for (let at = 0; at < options.members; at++) {
            this.members.push({ task: this.createMember(at), isCut: false });
        }
        for (let at = 0; at < options.gateways; at++) {
            this.gateways.push({ limits: this.createGateway(at), isCut: false, excusedUntil: 0 });
            this.attachGateway(at);
        }
    }

    /** Sends the requests of one step, whose time the caller lets pass. */
    sendRequests(): void {
        const expected = this.options.requestsPerSecond * STEP_MS / MS_PER_SECOND;
        const count = Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
        for (let at = 0; at < count; at++) {
            this.sendRequest(this.chooseGateway(), performance.now() + OBJECTIVE_MS);
        }
    }

    /** Ends the leader; its process restarts without anything that it knew. */
    removeLeader(): void {
        const former = this.leader ?? 0;
        this.former = former;
        this.leader = undefined;
        this.members[former].task.close();
        this.members[former].task = this.createMember(former);
    }

    startLeader(): void {
        this.term++;
        this.leader = (this.former + 1) % this.members.length;
        this.gateways.forEach((_, at) => this.attachGateway(at));
    }

    restartGateway(at: number): void {
        this.gateways[at].limits.close();
        this.gateways[at] = {
            limits: this.createGateway(at),
            isCut: false,
            excusedUntil: performance.now() + CONTACT_MS,
        };
        this.attachGateway(at);
    }

    /** Cuts a gateway off from all control members, or ends the cut. */
    setCut(at: number, isCut: boolean): void {
        this.gateways[at].isCut = isCut;
        this.gateways[at].excusedUntil = performance.now() + CONTACT_MS;
        if (!isCut) {
            this.attachGateway(at);
        }
    }

    /** Cuts all gateways off from all control members, or ends the cut. */
    setControlCut(isCut: boolean): void {
        this.members.forEach(member => member.isCut = isCut);
        if (!isCut) {
            this.gateways.forEach((_, at) => this.attachGateway(at));
        }
    }

    /** Number of endpoints that a gateway takes for limited. */
    countLimited(gateway: number): number {
        return this.gateways[gateway].limits.count(performance.now());
    }

    close(): void {
        this.members.forEach(member => member.task.close());
        this.gateways.forEach(gateway => gateway.limits.close());
    }

    private createMember(at: number): LimitTask {
        const getState = () => ({
            id: `m${at}`,
            leaderId: this.leader === undefined ? undefined : `m${this.leader}`,
            hardState: { term: this.term },
        });
        return new LimitTask({
            runtime: { getState, canServe: () => this.leader === at } as unknown as ConstructorParameters<
                typeof LimitTask
            >[0]["runtime"],
            logger: createLogger({ write: () => undefined }),
            hasEndpoint: () => true,
        });
    }

    private createGateway(at: number): EndpointLimits {
        const client = new PermitClient(() => this.listLinks(at));
        const limits: EndpointLimits = new EndpointLimits({
            logger: createLogger({ write: () => undefined }),
            sendAll: facts => this.members.forEach((_, member) => this.sendFacts(at, member, facts)),
            takePermits: wants => client.take(wants),
            countGateways: () => this.options.gateways,
            random: this.random,
        });
        return limits;
    }

    private isLinked(gateway: number, member: number): boolean {
        return !this.gateways[gateway].isCut && !this.members[member].isCut;
    }

    private sendFacts(gateway: number, member: number, facts: LimitFact[]): void {
        if (this.isLinked(gateway, member)) {
            setTimeout(() => this.members[member].task.record(facts), MESSAGE_MS);
        }
    }

    /** What a new link between a gateway and each member brings: the limits that each of them knows. */
    private attachGateway(gateway: number): void {
        const { limits } = this.gateways[gateway];
        this.members.forEach(({ task }, member) => {
            if (!this.isLinked(gateway, member)) {
                return;
            }
            this.sendFacts(gateway, member, limits.listFacts(performance.now()));
            task.watch({
                cast: (message: unknown) => this.deliverFacts(gateway, member, limits, message),
            } as unknown as Link);
        });
    }

    private deliverFacts(gateway: number, member: number, limits: EndpointLimits, message: unknown): void {
        const { facts } = message as { facts: LimitFact[] };
        if (this.isLinked(gateway, member) && this.gateways[gateway].limits === limits) {
            setTimeout(() => limits.record(facts, performance.now()), MESSAGE_MS);
        }
    }

    private listLinks(gateway: number): Link[] {
        return this.members.flatMap(({ task }, member) =>
            this.isLinked(gateway, member) ? [this.createLink(gateway, member, task)] : []
        );
    }

    private createLink(gateway: number, member: number, task: LimitTask): Link {
        const call = async (message: { wants: PermitWant[] }) => {
            await wait(MESSAGE_MS);
            const answer = task.grant(`g${gateway}`, message.wants);
            await wait(MESSAGE_MS);
            if (!this.isLinked(gateway, member)) {
                throw new Error("the link is closed");
            }
            return answer;
        };
        return { peer: { id: `m${member}` }, call } as unknown as Link;
    }

    private chooseGateway(): number {
        return this.random() < FIRST_GATEWAY_SHARE ? 0 : Math.floor(this.random() * this.gateways.length);
    }

    /** Sends to a random endpoint of which the gateway has a permit, or waits for one until `objectiveAt`. */
    private sendRequest(gateway: number, objectiveAt: number, afterCall?: number): void {
        const now = performance.now();
        const { limits } = this.gateways[gateway];
        const names = this.arrivals.map((_, at) => `e${at}`);
        const first = Math.floor(this.random() * names.length);
        const ordered = [...names.slice(first), ...names.slice(0, first)];
        const endpoint = ordered.find(name => limits.hasPermit(name, now));
        if (endpoint !== undefined) {
            limits.takePermit(endpoint, now);
            this.runRequest(gateway, names.indexOf(endpoint));
            return;
        }
        const wanted = ordered.reduce((best, name) =>
            limits.getWaitMs(name, now) < limits.getWaitMs(best, now) ? name : best
        );
        const calls = limits.askForPermit(wanted, now, afterCall);
        if (now + limits.getWaitMs(wanted, now) <= objectiveAt) {
            this.waitForPermit(gateway, objectiveAt, calls, limits.getWaitMs(wanted, now));
        }
    }

    private waitForPermit(gateway: number, objectiveAt: number, afterCall: number, waitMs: number): void {
        const choose = () => {
            clearTimeout(timer);
            cancel();
            this.sendRequest(gateway, objectiveAt, afterCall);
        };
        const timer = setTimeout(choose, Math.max(STEP_MS, waitMs === 0 ? OBJECTIVE_MS : waitMs));
        const cancel = this.gateways[gateway].limits.waitForPermits(choose);
    }

    private runRequest(gateway: number, endpoint: number): void {
        const { limits, isCut, excusedUntil } = this.gateways[gateway];
        const sentAt = performance.now();
        const isInContact = !isCut && sentAt >= excusedUntil;
        this.arrivals[endpoint].push({ at: sentAt - this.startedAt, gateway, isInContact });
        setTimeout(() => {
            const { limit, limitFromMs, limitToMs } = this.options;
            const at = performance.now() - this.startedAt;
            const isLimited = at >= limitFromMs && at < limitToMs;
            limits.recordResponse({
                endpoint: `e${endpoint}`,
                sentAt,
                limit: isLimited ? { perSecond: limit, text: String(limit) } : undefined,
            }, performance.now());
        }, MIN_RESPONSE_MS + this.random() * RESPONSE_SPREAD_MS);
    }
}

function wait(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
