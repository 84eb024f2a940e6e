import { type ConsensusMessage, ConsensusRuntime, DEFAULT_CONSENSUS_OPTIONS } from "@kumquathall/consensus";
import { ControlStateMachine } from "@kumquathall/control";
import { createLogger } from "@kumquathall/logger";
import { LogStore, MemoryDisk } from "@kumquathall/storage";
import type { Command, CommandResult } from "@kumquathall/types";

type Runtime = ConsensusRuntime<Command, CommandResult>;
type Message = ConsensusMessage<Command>;

/** One member: its process may come and go, its disk stays. */
export interface GroupMember {
    id: string;
    disk: MemoryDisk;
    runtime: Runtime | undefined;
    machine: ControlStateMachine | undefined;
    /** Newest revision that the member has shown; it must never go back while the process lives. */
    highestRevision: number;
}

/** How the network treats a message: delivered after each of these delays; an empty list loses it. */
export type NetworkRule = (from: string, to: string, message: Message) => number[];

const ORDINARY: NetworkRule = () => [1];
const MEMBERS = ["a", "b", "c"];

/** Three control members over a fake network and fake disks: real consensus, storage and state machine. */
export class ControlGroup {
    readonly members = new Map<string, GroupMember>();
    rule: NetworkRule = ORDINARY;
    /** Called for every message that is sent, before the rule. */
    onSend: ((from: string, to: string, message: Message) => void) | undefined;
    /** Breaches seen while running. */
    readonly breaches: string[] = [];

    constructor(private readonly disabledGuard: string | undefined) {}

    /** Starts all members. */
    async start(): Promise<void> {
        for (const id of MEMBERS) {
            this.members.set(id, {
                id,
                disk: new MemoryDisk(),
                runtime: undefined,
                machine: undefined,
                highestRevision: 0,
            });
            await this.startMember(id);
        }
    }

    /** Starts a member from what its disk holds. */
    async startMember(id: string): Promise<void> {
        const member = this.getMember(id);
        if (member.runtime !== undefined) {
            return;
        }
        const { store, recovered } = await LogStore.open<Command>({ disk: member.disk });
        const machine = new ControlStateMachine();
        member.machine = machine;
        member.highestRevision = 0;
        member.runtime = new ConsensusRuntime<Command, CommandResult>({
            id,
            members: MEMBERS,
            store,
            recovered,
            stateMachine: machine,
            transport: { send: (to, message) => this.send(id, to, message) },
            logger: createLogger({ level: "error", write: () => undefined }),
            timing: { ...DEFAULT_CONSENSUS_OPTIONS, disabledGuard: this.disabledGuard },
            onFatal: () => this.kill(id, 0),
            onApplied: () => this.watchRevision(member),
        });
    }

    /** Ends a member's process; its disk keeps what was synced and some bytes of what was not. */
    kill(id: string, tornBytes: number): void {
        const member = this.getMember(id);
        void member.runtime?.close();
        member.runtime = undefined;
        member.machine = undefined;
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

    /** The member that may give orders now. More than one is a breach. */
    findLeader(): GroupMember | undefined {
        const leaders = [...this.members.values()].filter(member => member.runtime?.canServe() === true);
        if (leaders.length > 1) {
            this.breaches.push(`${leaders.map(leader => leader.id).join(" and ")} both gave orders`);
        }
        return leaders[0];
    }

    private send(from: string, to: string, message: Message): void {
        this.onSend?.(from, to, message);
        for (const delayMs of this.rule(from, to, message)) {
            setTimeout(() => this.members.get(to)?.runtime?.receive(from, structuredClone(message)), delayMs);
        }
    }

    private watchRevision(member: GroupMember): void {
        const revision = member.machine?.getState().configuration.revision ?? 0;
        if (revision < member.highestRevision) {
            this.breaches.push(`${member.id} went back from revision ${member.highestRevision} to ${revision}`);
        }
        member.highestRevision = Math.max(member.highestRevision, revision);
    }
}
