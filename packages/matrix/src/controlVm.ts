import { type ConsensusMessage, ConsensusRuntime, DEFAULT_CONSENSUS_OPTIONS } from "@kumquathall/consensus";
import {
    ControlStateMachine,
    LeaderCaller,
    MembershipTask,
    PublishRecorder,
    readFoundingIdentity,
    TrafficPublisher,
} from "@kumquathall/control";
import { getMemberAddress } from "@kumquathall/control-directory";
import type { Link } from "@kumquathall/link";
import { createLogger, type Logger } from "@kumquathall/logger";
import { LogStore, PowerLossDisk } from "@kumquathall/storage";
import type { Command, CommandResult, ControlAnswer, ControlCall, TrafficConfiguration } from "@kumquathall/types";
import { Registry } from "prom-client";

/** What a process needs of the network and of its deployment. */
export interface ControlVmOptions {
    address: string;
    /** Returns the seeds that the settings name at a start. */
    listSeeds: (isFirstStart: boolean) => string[];
    targetMembers: number;
    snapshotEvery: number;
    /** Guard of the product to disable, to test that the fault is detected. */
    disabledGuard: string | undefined;
    random: () => number;
    /** Returns the duration of the next write or sync of the disk, in milliseconds. */
    getDelayMs: () => number;
    /** Sends a message to the process at an address if its member id is `to`. */
    send: (from: ControlProcess, to: string, message: ConsensusMessage<Command>) => void;
    /** Calls the process at an address; rejects if there is no answer in time. */
    call: (from: ControlProcess, address: string, call: ControlCall, timeoutMs: number) => Promise<ControlAnswer>;
    /** Called when a process ends by itself. */
    onProcessFailure: (address: string, error: unknown) => void;
    /** Called for each line that a process logs. */
    onLine: (line: string) => void;
    /** Time to set up a link to a member, in milliseconds; what is sent meanwhile is lost. */
    linkSetUpMs: number;
}

type MemberLink = Pick<Link, "call" | "peer">;

const RESTART_AFTER_FAILURE_MS = 500;
const DISCOVERY_MS = 1000;
const CALL_TIMEOUT_MS = 1000;

/** A VM that runs one control process. The disk outlives the process, unless it is replaced by an empty one. */
export class ControlVm {
    disk: PowerLossDisk;
    process: ControlProcess | undefined;
    /** Whether the VM is part of the deployment; a removed one never starts again. */
    isRemoved = false;

    constructor(readonly options: ControlVmOptions) {
        this.disk = this.createDisk();
    }

    /** Starts a process from what the disk holds, unless one runs. */
    start(isFirstStart: boolean): void {
        if (this.process !== undefined || this.isRemoved) {
            return;
        }
        const process = new ControlProcess(this, isFirstStart, error => {
            if (this.process === process) {
                this.options.onProcessFailure(this.options.address, error);
                this.kill();
                setTimeout(() => this.start(isFirstStart), RESTART_AFTER_FAILURE_MS);
            }
        });
        this.process = process;
    }

    /** Ends the process. All that it has written remains on the disk. */
    kill(): void {
        this.process?.close();
        this.process = undefined;
        this.disk.endProcess();
    }

    /** Ends the process, and drops what the disk had not synced. */
    crash(): void {
        this.kill();
        this.disk.dropUnsynced();
    }

    /** Ends the process and replaces the disk by an empty one. */
    replaceDisk(): void {
        this.kill();
        this.disk = this.createDisk();
    }

    private createDisk(): PowerLossDisk {
        return new PowerLossDisk({ random: this.options.random, getDelayMs: this.options.getDelayMs });
    }
}

/** One process of a control member: the product's consensus, log, state machine, membership and publisher. */
export class ControlProcess {
    id = "";
    runtime: ConsensusRuntime<Command, CommandResult> | undefined;
    readonly stateMachine = new ControlStateMachine();
    /** Addresses at which other members are expected. */
    private readonly addresses = new Set<string>();
    /** When the link to each member or learner is up. */
    private readonly linkedAt = new Map<string, number>();
    private membershipTask: MembershipTask | undefined;
    private leaderCaller: LeaderCaller | undefined;
    private publisher: TrafficPublisher | undefined;
    private recorder: PublishRecorder | undefined;
    private timer: NodeJS.Timeout | undefined;
    private isClosed = false;
    private readonly logger: Logger;

    constructor(readonly vm: ControlVm, isFirstStart: boolean, private readonly onFatal: (error: unknown) => void) {
        this.logger = createLogger({ write: line => vm.options.onLine(`${vm.options.address} ${line}`) });
        this.open(isFirstStart).catch(error => {
            this.logger.error("process-failed", { message: String(error) });
            this.onFatal(error);
        });
    }

    /** Publishes a configuration, as an operator's call to this process does. */
    async publish(traffic: TrafficConfiguration, document: string): Promise<void> {
        if (this.publisher === undefined) {
            throw new Error("the process is starting");
        }
        await this.publisher.publish(traffic, document);
    }

    /** Reads the configuration in force, as an operator's call to this process does; `undefined` before the first. */
    async read(): Promise<string | undefined> {
        if (this.leaderCaller === undefined) {
            throw new Error("the process is starting");
        }
        const answer = await this.leaderCaller.call({ kind: "readTraffic" });
        return answer.kind === "traffic" ? answer.document : undefined;
    }

    /** Answers a call of another process. */
    async answer(call: ControlCall): Promise<ControlAnswer> {
        const { runtime } = this;
        if (runtime === undefined) {
            throw new Error("the process is starting");
        }
        switch (call.kind) {
            case "join":
                this.membershipTask?.recordJoiner(call.member);
                return { kind: "members", members: this.listKnown(runtime.getMembers()), gateways: 0 };
            case "members":
                return { kind: "members", members: this.listKnown(runtime.getMembers()), gateways: 0 };
            case "readTraffic":
                return runtime.canServe()
                    ? { kind: "traffic", document: this.stateMachine.getState().trafficDocument }
                    : { kind: "notLeader", leader: runtime.getState().leaderId };
            case "propose":
                return this.propose(runtime, call.command);
            default:
                throw new Error(`call ${call.kind} is not simulated`);
        }
    }

    close(): void {
        this.isClosed = true;
        clearInterval(this.timer);
        this.membershipTask?.close();
        void this.runtime?.close();
    }

    private async open(isFirstStart: boolean): Promise<void> {
        const { vm, logger } = this;
        const { address, targetMembers, snapshotEvery, random } = vm.options;
        const seeds = vm.options.listSeeds(isFirstStart);
        const disk = vm.disk.open();
        const identity = await readFoundingIdentity(disk, address, { seeds, isFirstStart, targetMembers });
        const { store, recovered } = await LogStore.open<Command>({ disk });
        if (this.isClosed) {
            return;
        }
        this.id = identity.id;
        const runtime = new ConsensusRuntime<Command, CommandResult>({
            id: identity.id,
            members: identity.members,
            snapshotEvery,
            store,
            recovered,
            stateMachine: this.stateMachine,
            transport: { send: (to, message) => this.sendToMember(to, message) },
            logger,
            random,
            timing: { ...DEFAULT_CONSENSUS_OPTIONS, disabledGuard: vm.options.disabledGuard },
            onFatal: error => this.onFatal(error),
        });
        this.runtime = runtime;
        [...seeds, ...runtime.getMembers().map(getMemberAddress)].forEach(item => this.addresses.add(item));
        this.recorder = new PublishRecorder({ runtime, metrics: new Registry(), logger });
        this.membershipTask = new MembershipTask({
            id: identity.id,
            runtime,
            listLinks: () => this.listLinks(),
            targetMembers,
            logger,
            onPeersChange: peers => this.updateLinks(peers),
        });
        this.leaderCaller = new LeaderCaller({
            id: identity.id,
            runtime,
            logger,
            answerLocally: call => this.answer(call),
            getLeaderLink: leaderId => this.buildLink(getMemberAddress(leaderId)),
            listLinks: () => this.listLinks(),
        });
        const { leaderCaller } = this;
        this.publisher = new TrafficPublisher({
            stateMachine: this.stateMachine,
            callLeader: (call, timeoutMs) => leaderCaller.call(call, timeoutMs),
        });
        this.timer = setInterval(() => this.refreshAddresses(), DISCOVERY_MS);
    }

    /** Links are set up when something is sent, as the product's are. */
    private sendToMember(to: string, message: ConsensusMessage<Command>): void {
        const { linkSetUpMs, send } = this.vm.options;
        const linkedAt = this.linkedAt.get(to) ?? performance.now() + linkSetUpMs;
        this.linkedAt.set(to, linkedAt);
        if (performance.now() >= linkedAt) {
            send(this, to, message);
        }
    }

    private updateLinks(peers: readonly string[]): void {
        peers.forEach(peer => this.addresses.add(getMemberAddress(peer)));
        for (const known of this.linkedAt.keys()) {
            if (!peers.includes(known)) {
                this.linkedAt.delete(known);
            }
        }
    }

    /** Lists the members of the log and, at a process that is no member, the addresses that it has learned. */
    private listKnown(members: readonly string[]): string[] {
        return members.includes(this.id) ? [...members] : [...new Set([...members, ...this.addresses])];
    }

    private async propose(
        runtime: ConsensusRuntime<Command, CommandResult>,
        command: Command,
    ): Promise<ControlAnswer> {
        try {
            const result = await runtime.propose(command);
            this.recorder?.recordResult(command, result);
            return { kind: "result", result };
        }
        catch {
            return { kind: "notLeader", leader: runtime.getState().leaderId };
        }
    }

    private buildLink(address: string): MemberLink {
        const { options } = this.vm;
        return {
            peer: undefined,
            call: (message, timeoutMs) =>
                options.call(this, address, message as ControlCall, timeoutMs ?? CALL_TIMEOUT_MS),
        };
    }

    private listLinks(): MemberLink[] {
        return [...this.addresses].filter(address => address !== this.vm.options.address)
            .map(address => this.buildLink(address));
    }

    private refreshAddresses(): void {
        for (const link of this.listLinks()) {
            link.call({ kind: "members" }, CALL_TIMEOUT_MS).then(answer => {
                const members = (answer as Extract<ControlAnswer, { kind: "members" }>).members;
                members.forEach(member => this.addresses.add(getMemberAddress(member)));
            }, () => undefined);
        }
    }
}
