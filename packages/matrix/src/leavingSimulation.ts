import { EndpointTask } from "@kumquathall/control";
import { EndpointTracker } from "@kumquathall/gateway";
import type { Link } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import type { EndpointFact } from "@kumquathall/types";
import { createRandom } from "./random.js";

export interface LeavingSimulationOptions {
    seed: number;
    members: number;
    gateways: number;
    /** The first `leaving` of the endpoints leave. */
    endpoints: number;
    leaving: number;
    requestsPerSecond: number;
    /** Time from the start at which the responses of the leaving endpoints begin to say so, in milliseconds. */
    leavingFromMs: number;
}

export interface SimulatedArrival {
    /** Time since the start, in milliseconds. */
    at: number;
    gateway: number;
    endpoint: number;
}

interface SimulatedGateway {
    tracker: EndpointTracker;
    isCut: boolean;
}

interface SimulatedMember {
    task: EndpointTask;
}

/** Time between two moments at which requests are sent, in milliseconds. */
export const STEP_MS = 10;
const MESSAGE_MS = 2;
const RESPONSE_MS = 20;
const RESPONSE_SPREAD_MS = 80;
const HEARTBEAT_MS = 1000;
const MS_PER_SECOND = 1000;
const SERVICE = "orders";

const logger = createLogger({ level: "error", write: () => undefined });

/**
 * Gateways, control members and endpoints that say only in their responses that they leave, and send heartbeats on as
 * before, in virtual time.
 */
export class LeavingSimulation {
    readonly arrivals: SimulatedArrival[] = [];
    readonly startedAt = performance.now();
    private readonly random: () => number;
    private readonly members: SimulatedMember[];
    private readonly gateways: SimulatedGateway[];
    private heartbeats = 0;
    private lastHeartbeatAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: LeavingSimulationOptions) {
        this.random = createRandom(options.seed);
        this.members = Array.from({ length: options.members }, () => ({ task: createMember() }));
        this.gateways = Array.from({ length: options.gateways }, () => ({
            tracker: this.createTracker(),
            isCut: false,
        }));
        this.sendHeartbeats();
        this.gateways.forEach(gateway => this.attachGateway(gateway));
    }

    /** Sends heartbeats and the requests of one step, whose time the caller lets pass. */
    sendRequests(): void {
        if (performance.now() - this.lastHeartbeatAt >= HEARTBEAT_MS) {
            this.sendHeartbeats();
        }
        const expected = this.options.requestsPerSecond * STEP_MS / MS_PER_SECOND;
        const count = Math.floor(expected) + (this.random() < expected % 1 ? 1 : 0);
        for (let at = 0; at < count; at++) {
            this.sendRequest(Math.floor(this.random() * this.gateways.length));
        }
    }

    /** Cuts a gateway off from all control members, or ends the cut. */
    setCut(gateway: number, isCut: boolean): void {
        this.gateways[gateway].isCut = isCut;
        if (!isCut) {
            this.attachGateway(this.gateways[gateway]);
        }
    }

    /** Restarts a gateway without anything that it knew. */
    restartGateway(gateway: number): void {
        this.gateways[gateway].tracker.close();
        this.gateways[gateway] = { tracker: this.createTracker(), isCut: false };
        this.attachGateway(this.gateways[gateway]);
    }

    /** Restarts all control members at once, without anything that they knew. */
    restartMembers(): void {
        for (const member of this.members) {
            member.task.close();
            member.task = createMember();
        }
        this.sendHeartbeats();
        this.gateways.forEach(gateway => this.attachGateway(gateway));
    }

    close(): void {
        this.members.forEach(({ task }) => task.close());
        this.gateways.forEach(({ tracker }) => tracker.close());
    }

    private createTracker(): EndpointTracker {
        const tracker: EndpointTracker = new EndpointTracker({
            getService: () => undefined,
            logger,
            onLeaving: fact => this.sendToMembers(tracker, [fact]),
        });
        return tracker;
    }

    private isLinked(tracker: EndpointTracker): boolean {
        return this.gateways.some(gateway => gateway.tracker === tracker && !gateway.isCut);
    }

    private sendToMembers(tracker: EndpointTracker, facts: EndpointFact[]): void {
        if (this.isLinked(tracker)) {
            this.members.forEach(({ task }) => setTimeout(() => facts.forEach(fact => task.record(fact)), MESSAGE_MS));
        }
    }

    /** What a new link brings to both sides. */
    private attachGateway({ tracker }: SimulatedGateway): void {
        this.sendToMembers(tracker, tracker.listLeaving());
        for (const { task } of this.members) {
            const deliver = (facts: EndpointFact[]) => {
                if (this.isLinked(tracker)) {
                    setTimeout(() => tracker.record(facts, performance.now()), MESSAGE_MS);
                }
            };
            const cast = (message: unknown) => {
                deliver((message as { facts: EndpointFact[] }).facts);
                return true;
            };
            task.watch({ cast } as unknown as Link);
        }
    }

    /** All endpoints report to one member that they are ready, also those that leave. */
    private sendHeartbeats(): void {
        this.lastHeartbeatAt = performance.now();
        const { task } = this.members[this.heartbeats % this.members.length];
        this.heartbeats++;
        for (let endpoint = 0; endpoint < this.options.endpoints; endpoint++) {
            task.record({
                kind: "heartbeat",
                id: `e${endpoint}`,
                service: SERVICE,
                address: `h${endpoint}:1`,
                dataCentre: "d",
                slots: 4,
                isLeaving: false,
                bornMs: 1,
                sequence: this.heartbeats,
                engine: undefined,
            });
        }
    }

    private sendRequest(gateway: number): void {
        const { tracker } = this.gateways[gateway];
        const endpoints = tracker.listPlainEndpoints(SERVICE, performance.now());
        if (endpoints.length === 0) {
            return;
        }
        const endpoint = endpoints[Math.floor(this.random() * endpoints.length)];
        const number = Number(endpoint.view.id.slice(1));
        const at = performance.now() - this.startedAt;
        this.arrivals.push({ at, gateway, endpoint: number });
        const isNotice = number < this.options.leaving && at >= this.options.leavingFromMs;
        setTimeout(() => {
            endpoint.lastResponseAt = performance.now();
            if (isNotice) {
                tracker.recordLeaving(endpoint, performance.now());
            }
        }, RESPONSE_MS + this.random() * RESPONSE_SPREAD_MS);
    }
}

/** Creates a control member that forwards facts and plans nothing, since it does not lead. */
function createMember(): EndpointTask {
    const runtime = { getState: () => ({ id: "m", leaderId: undefined }), canServe: () => false };
    const options = { runtime, stateMachine: {}, logger };
    return new EndpointTask(options as unknown as ConstructorParameters<typeof EndpointTask>[0]);
}
