import { ControlStateMachine, Distributor, TrafficPublisher } from "@kumquathall/control";
import { TrafficConfigurationReader } from "@kumquathall/gateway";
import { Link, type PeerIdentity } from "@kumquathall/link";
import { createLogger } from "@kumquathall/logger";
import { measureRecord } from "@kumquathall/storage";
import {
    type Command,
    type ControlAnswer,
    type ControlCall,
    DrainKind,
    RequestKind,
    type RevisionCast,
    type TrafficConfiguration,
    type TrafficRoute,
} from "@kumquathall/types";
import { createSimulatedVm, openSimulatedConnection } from "./simulatedNetwork.js";

export interface DeliverySimulationOptions {
    members: number;
    gateways: number;
    /** Routes of the first version. */
    routes: number;
    /** Bandwidth of a gateway's VM in each direction, in bytes per millisecond. */
    gatewayBytesPerMs: number;
    /** Advances the virtual time. */
    advance: (ms: number) => Promise<void>;
}

/** How long a gateway took to put a version, or a newer one, in force; infinite if it never did. */
export interface Delivery {
    version: number;
    gateway: number;
    delayMs: number;
}

/** Bandwidth of a control member's VM, in bytes per millisecond (170 Mbit/s). */
const MEMBER_BYTES_PER_MS = 21_250;
/** Time in which all deliveries end, whatever their delay. */
const SETTLE_MS = 15_000;
const ACCOUNTS = 60;

const logger = createLogger({ level: "error", write: () => undefined });

/** Creates an identity of a process in the simulation's cluster. */
export function createSimulatedIdentity(role: string, id: string): PeerIdentity {
    return { cluster: "c", controlGroup: "g", role, id, incarnation: "1" };
}

/** Builds routes with the ids from `from` on. */
function buildRoutes(from: number, count: number): TrafficRoute[] {
    return Array.from({ length: count }, (_, at) => ({
        name: `route-${from + at}`,
        host: `host${(from + at) % 7}.example`,
        pathPrefix: `/service-${from + at}/`,
        kind: RequestKind.Idempotent,
        timeoutMs: 3000,
        objectiveMs: 300,
        gapObjectiveMs: undefined,
        priority: 1,
        targets: [{ service: "orders", weight: 1 }],
        maxEndpoints: 2,
        isPublic: false,
        isResumable: false,
    }));
}

/** Builds version 1 of a traffic configuration with some routes, one service and 60 accounts. */
export function buildSimulatedTraffic(routes: number): TrafficConfiguration {
    return {
        version: 1,
        routes: buildRoutes(0, routes),
        services: [{ name: "orders", maxConnections: 64, engine: undefined }],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
        accounts: Array.from(
            { length: ACCOUNTS },
            (_, at) => ({ name: `account-${at}`, keys: [`key-${at}`], priority: 1 }),
        ),
    };
}

/** A control member as gateways see it: applies confirmed commands and answers reads over its links. */
class DeliveringMember {
    /** Whether reads of the configuration get no answer. */
    isSilent = false;
    /** Whether it reads only the fields of calls that earlier builds had. */
    isEarlierBuild = false;
    readonly vm = createSimulatedVm(MEMBER_BYTES_PER_MS);
    private readonly stateMachine = new ControlStateMachine();
    private readonly distributor = new Distributor(() => this.stateMachine.getState().configuration, logger);

    constructor(private readonly id: string, private readonly onRead: (answer: ControlAnswer) => void) {}

    accept(socket: ConstructorParameters<typeof Link>[0]): Link {
        return new Link(socket, {
            identity: createSimulatedIdentity("control", this.id),
            handlers: {
                onCall: (message, link) => this.answer(message as ControlCall, link),
                onClose: link => this.distributor.removeWatcher(link),
            },
        });
    }

    apply(command: Command, index: number): void {
        const result = this.stateMachine.apply(command, index, 1);
        if (result.kind !== "accepted") {
            throw new Error(`member ${this.id} did not accept ${command.kind}: ${result.kind}`);
        }
        this.distributor.scheduleAnnouncement();
    }

    /** Builds the command by which a member publishes that has applied the version before. */
    async buildCommand(traffic: TrafficConfiguration): Promise<Command> {
        const proposed: Command[] = [];
        const publisher = new TrafficPublisher({
            stateMachine: this.stateMachine,
            callLeader: call => {
                proposed.push(...call.kind === "propose" ? [call.command] : []);
                return Promise.resolve({ kind: "result", result: { kind: "accepted", revision: traffic.version } });
            },
        });
        await publisher.publish(traffic, JSON.stringify(traffic));
        return proposed[0];
    }

    readWhole(): ControlAnswer {
        return this.distributor.read({ since: 0, keyPrefix: "traffic" });
    }

    close(): void {
        this.distributor.close();
    }

    private answer(call: ControlCall, link: Link): unknown {
        if (call.kind !== "readConfiguration") {
            return this.distributor.watch(link);
        }
        if (this.isSilent) {
            return new Promise(() => undefined);
        }
        const answer = this.distributor.read(this.isEarlierBuild ? { ...call, keyPrefixes: undefined } : call);
        this.onRead(answer);
        return answer;
    }
}

/**
 * Control members and gateways with the real distributor, links and readers, over simulated interfaces in virtual time.
 * A version is confirmed when all members apply it; consensus is not part of the simulation.
 */
export class DeliverySimulation {
    readonly members: DeliveringMember[];
    readonly readers: TrafficConfigurationReader[] = [];
    private readonly links: Link[] = [];
    private readonly confirmedAt = new Map<number, number>();
    /** When each gateway had each version in force. */
    private readonly appliedAt: Map<number, number>[] = [];
    private traffic: TrafficConfiguration;
    private readBytes = 0;
    /** Index of the newest command. */
    private index = 0;

    private constructor(private readonly options: DeliverySimulationOptions) {
        const recordRead = (answer: ControlAnswer) => {
            this.readBytes += measureRecord(answer);
        };
        this.members = Array.from(
            { length: options.members },
            (_, at) => new DeliveringMember(`control-${at}`, recordRead),
        );
        this.traffic = buildSimulatedTraffic(options.routes);
    }

    /** Starts the processes, and resolves once every gateway has the first version. */
    static async start(options: DeliverySimulationOptions): Promise<DeliverySimulation> {
        const simulation = new DeliverySimulation(options);
        await simulation.publish();
        for (let gateway = 0; gateway < options.gateways; gateway++) {
            simulation.openGateway(gateway);
        }
        await simulation.settle();
        if (!simulation.appliedAt.every(applied => applied.has(1))) {
            throw new Error("a gateway has not received the first version");
        }
        simulation.confirmedAt.clear();
        return simulation;
    }

    /** Publishes a version that adds routes. */
    async addRoutes(count: number): Promise<void> {
        const { version, routes } = this.traffic;
        this.traffic = {
            ...this.traffic,
            version: version + 1,
            routes: [...routes, ...buildRoutes(routes.length, count)],
        };
        await this.publish();
    }

    /** Publishes a version that revokes the keys of one account. */
    async publishRevocation(): Promise<void> {
        const { version } = this.traffic;
        const accounts = this.traffic.accounts.map((account, at) =>
            at === version % ACCOUNTS ? { ...account, keys: [] } : account
        );
        this.traffic = { ...this.traffic, version: version + 1, accounts };
        await this.publish();
    }

    /** Publishes a version that revokes a key after each interval, and waits until all deliveries have ended. */
    async publishRevocations(everyMs: number, forMs: number): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += everyMs) {
            await this.publishRevocation();
            await this.options.advance(everyMs);
        }
        await this.settle();
    }

    /** Orders or withdraws the evacuation of a data centre. */
    setEvacuation(name: string, isEvacuated: boolean): void {
        const kind = isEvacuated ? "drain" : "undrain";
        this.apply({ kind, operator: "o", target: DrainKind.DataCentre, name, at: new Date().toISOString() });
    }

    /** Waits until all deliveries have ended. */
    settle(): Promise<void> {
        return this.options.advance(SETTLE_MS);
    }

    /** Lists how long each version took to each gateway. */
    listDeliveries(): Delivery[] {
        return [...this.confirmedAt].flatMap(([version, confirmed]) =>
            this.appliedAt.map((applied, gateway) => {
                const times = [...applied].filter(([other]) => other >= version).map(([, time]) => time - confirmed);
                return { version, gateway, delayMs: Math.min(Number.POSITIVE_INFINITY, ...times) };
            })
        );
    }

    /** Forgets the versions published so far. */
    clearDeliveries(): void {
        this.confirmedAt.clear();
        this.readBytes = 0;
    }

    /** Bytes of all answers to reads since the deliveries were cleared. */
    countReadBytes(): number {
        return this.readBytes;
    }

    /** Bytes of an answer that holds the whole configuration. */
    measureWhole(): number {
        return measureRecord(this.members[0].readWhole());
    }

    close(): void {
        this.readers.forEach(reader => reader.close());
        this.links.forEach(link => link.close("end of simulation"));
        this.members.forEach(member => member.close());
    }

    private async publish(): Promise<void> {
        const command = await this.members[0].buildCommand(this.traffic);
        this.confirmedAt.set(this.traffic.version, performance.now());
        this.apply(command);
    }

    private apply(command: Command): void {
        this.index++;
        this.members.forEach(member => member.apply(structuredClone(command), this.index));
    }

    /** Starts a gateway with links to all members. */
    openGateway(gateway = this.readers.length): TrafficConfigurationReader {
        const vm = createSimulatedVm(this.options.gatewayBytesPerMs);
        const applied = new Map<number, number>();
        this.appliedAt.push(applied);
        let draws = 0;
        const reader = new TrafficConfigurationReader({
            logger,
            onChange: table => applied.set(table.getVersion(), performance.now()),
            // Different for each gateway and draw, and the same in each run.
            random: () => (gateway * 0.37 + ++draws * 0.61) % 1,
        });
        this.readers.push(reader);
        for (const member of this.members) {
            const [near, far] = openSimulatedConnection(vm, member.vm);
            const link = new Link(near, {
                identity: createSimulatedIdentity("gateway", `gateway-${gateway}`),
                handlers: {
                    onOpen: opened => void reader.watch(opened),
                    onCast: (message, from) => reader.recordRevision(from, (message as RevisionCast).revision),
                    onClose: closed => reader.removeLink(closed),
                },
            });
            this.links.push(member.accept(far), link);
        }
        return reader;
    }
}
