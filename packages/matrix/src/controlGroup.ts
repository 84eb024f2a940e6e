import { type ConsensusMessage, ConsensusRuntime, DEFAULT_CONSENSUS_OPTIONS } from "@kumquathall/consensus";
import { ControlStateMachine } from "@kumquathall/control";
import { createLogger } from "@kumquathall/logger";
import { LogStore, MemoryDisk } from "@kumquathall/storage";
import type { Command, CommandResult } from "@kumquathall/types";

type Runtime = ConsensusRuntime<Command, CommandResult>;
type Message = ConsensusMessage<Command>;

/** One member: its process can be killed and restarted, its disk persists. */
export interface GroupMember {
    id: string;
    disk: MemoryDisk;
    /** `undefined` while the process is down, as is `stateMachine`. */
    runtime: Runtime | undefined;
    stateMachine: ControlStateMachine | undefined;
    /** Highest revision that the process has applied; its revision must not decrease. */
    highestRevision: number;
}

/** Returns the delays in milliseconds after which a message is delivered, once for each; none if it is lost. */
export type NetworkRule = (from: string, to: string, message: Message) => number[];

export interface ControlGroupOptions {
    /** Guard of the product to disable, to test that a cell detects the fault. */
    disabledGuard?: string;
    /** Returns numbers in [0, 1) that spread the election timeouts. */
    random: () => number;
    /** Applied entries after which a member takes a snapshot. */
    snapshotEvery?: number;
}

const DELIVER_ONCE: NetworkRule = () => [1];
const MEMBERS = ["a", "b", "c"];

/** Three control members with the real consensus, storage and state machine, over a fake network and fake disks. */
export class ControlGroup {
    readonly members = new Map<string, GroupMember>();
    rule: NetworkRule = DELIVER_ONCE;
    /** Called for every message that is sent, before the network rule is applied. */
    onSend: ((from: string, to: string, message: Message) => void) | undefined;
    /** Invariant violations detected so far. */
    readonly violations: string[] = [];

    constructor(private readonly options: ControlGroupOptions) {}

    /** Starts all members. */
    async start(): Promise<void> {
        for (const id of MEMBERS) {
            this.members.set(id, {
                id,
                disk: new MemoryDisk(),
                runtime: undefined,
                stateMachine: undefined,
                highestRevision: 0,
            });
            await this.startMember(id);
        }
    }

    /** Starts a member from the data on its disk, unless it is running. */
    async startMember(id: string): Promise<void> {
        const member = this.getMember(id);
        if (member.runtime !== undefined) {
            return;
        }
        const { store, recovered } = await LogStore.open<Command>({ disk: member.disk });
        const stateMachine = new ControlStateMachine();
        member.stateMachine = stateMachine;
        member.highestRevision = 0;
        member.runtime = new ConsensusRuntime<Command, CommandResult>({
            id,
            members: MEMBERS,
            store,
            recovered,
            stateMachine,
            transport: { send: (to, message) => this.send(id, to, message) },
            logger: createLogger({ level: "error", write: () => undefined }),
            timing: { ...DEFAULT_CONSENSUS_OPTIONS, disabledGuard: this.options.disabledGuard },
            random: this.options.random,
            snapshotEvery: this.options.snapshotEvery,
            onFatal: () => this.kill(id, 0),
            onApplied: () => this.checkRevision(member),
        });
    }

    /** Kills a member's process. Its disk keeps all synced data and up to `tornBytes` bytes of the rest. */
    kill(id: string, tornBytes: number): void {
        const member = this.getMember(id);
        void member.runtime?.close();
        member.runtime = undefined;
        member.stateMachine = undefined;
        member.disk.crash(tornBytes);
    }

    close(): void {
        for (const id of MEMBERS) {
            this.kill(id, 0);
        }
    }

    getMember(id: string): GroupMember {
        const member = this.members.get(id);
        if (member === undefined) {
            throw new Error(`no member ${id}`);
        }
        return member;
    }

    /** Finds the member that may serve reads and issue orders now. More than one is a violation. */
    findLeader(): GroupMember | undefined {
        const leaders = [...this.members.values()].filter(member => member.runtime?.canServe() === true);
        if (leaders.length > 1) {
            this.violations.push(`${leaders.map(leader => leader.id).join(" and ")} could serve at the same time`);
        }
        return leaders[0];
    }

    private send(from: string, to: string, message: Message): void {
        this.onSend?.(from, to, message);
        for (const delayMs of this.rule(from, to, message)) {
            setTimeout(() => this.members.get(to)?.runtime?.receive(from, structuredClone(message)), delayMs);
        }
    }

    private checkRevision(member: GroupMember): void {
        const revision = member.stateMachine?.getState().configuration.revision ?? 0;
        if (revision < member.highestRevision) {
            this.violations.push(`${member.id} reverted from revision ${member.highestRevision} to ${revision}`);
        }
        member.highestRevision = Math.max(member.highestRevision, revision);
    }
}
