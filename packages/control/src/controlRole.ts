import { ConsensusError, type ConsensusMessage, ConsensusRuntime } from "@kumquathall/consensus";
import { describeError, KumquathallError } from "@kumquathall/errors";
import { createIdentity, type RoleContext, type RunningRole } from "@kumquathall/kernel";
import { type Link, LinkDialer, LinkListener, parseAddress, type PeerIdentity } from "@kumquathall/link";
import { LogStore, NodeDisk } from "@kumquathall/storage";
import type { Command, CommandResult, ControlAnswer, ControlCall } from "@kumquathall/types";
import { ControlMachine } from "./controlMachine.js";
import type { ControlSettings } from "./controlPlugin.js";
import { Distributor } from "./distributor.js";
import { LeaderTask } from "./leaderTask.js";
import { registerControlMetrics } from "./metrics.js";
import { listSnapshotParts, type SnapshotPart, SnapshotReceiver } from "./snapshotTransfer.js";
import { buildStatus } from "./status.js";
import { computeVouch } from "./vouch.js";

/** A consensus message between two members, or one part of a snapshot. */
type MemberCast =
    | { kind: "consensus"; from: string; message: ConsensusMessage<Command> }
    | { kind: "snapshotPart"; from: string; part: SnapshotPart };

/** One member of the control group. */
export class ControlRole implements RunningRole {
    private readonly machine = new ControlMachine();
    private readonly distributor: Distributor;
    private readonly identity: PeerIdentity;
    private readonly dialers = new Map<string, LinkDialer>();
    /** Snapshots that are arriving, by sender. */
    private readonly receivers = new Map<string, SnapshotReceiver>();
    private listener: LinkListener | undefined;
    private runtime!: ConsensusRuntime<Command, CommandResult>;
    private leaderTask!: LeaderTask;

    private constructor(private readonly context: RoleContext, private readonly settings: ControlSettings) {
        this.identity = createIdentity(context, "control");
        this.distributor = new Distributor(() => this.machine.getState().configuration);
    }

    static async start(context: RoleContext, settings: ControlSettings): Promise<ControlRole> {
        if (!settings.members.some(member => member.id === context.settings.id)) {
            throw new KumquathallError(
                `settings: /roles/control/members does not name this process ("${context.settings.id}"); add it with its address`,
            );
        }
        const role = new ControlRole(context, settings);
        await role.open();
        return role;
    }

    isReady(): boolean {
        return this.runtime.getState().leaderId !== undefined;
    }

    /** A control member has nothing of a caller's in flight; the others elect a new leader once it is gone. */
    drain(): Promise<void> {
        return Promise.resolve();
    }

    async close(): Promise<void> {
        this.leaderTask.close();
        this.distributor.close();
        this.listener?.close();
        for (const dialer of this.dialers.values()) {
            dialer.close();
        }
        await this.runtime.close();
    }

    private async open(): Promise<void> {
        const { context, settings } = this;
        const { store, recovered } = await LogStore.open<Command>({ disk: new NodeDisk(settings.dataFolder) });
        context.logger.info("log-recovered", {
            snapshot: recovered.snapshot?.index ?? 0,
            entries: recovered.entries.length,
            term: recovered.hardState.term,
            cutBytes: recovered.cutBytes,
        });
        this.runtime = new ConsensusRuntime<Command, CommandResult>({
            id: context.settings.id,
            members: settings.members.map(member => member.id),
            store,
            recovered,
            machine: this.machine,
            transport: { send: (to, message) => this.sendToMember(to, message) },
            logger: context.logger,
            onFatal: error => context.fail(error),
            onApplied: () => this.distributor.schedulePush(),
        });
        this.leaderTask = new LeaderTask({
            runtime: this.runtime,
            machine: this.machine,
            settings,
            logger: context.logger,
        });
        registerControlMetrics(context.metrics, this.runtime, this.machine);
        this.listener = await LinkListener.listen({
            address: parseAddress(settings.listen),
            tls: context.tls?.(),
            identity: this.identity,
            handlers: {
                onCall: (message, link) => this.handleCall(message as ControlCall, link),
                onCast: (message, link) => this.handleCast(message as MemberCast, link),
                onClose: link => this.distributor.unsubscribe(link),
            },
        });
        this.dialMembers();
    }

    private dialMembers(): void {
        for (const member of this.settings.members) {
            if (member.id !== this.context.settings.id) {
                const dialer = new LinkDialer({
                    address: parseAddress(member.address),
                    tls: this.context.tls,
                    identity: this.identity,
                    handlers: {},
                });
                this.dialers.set(member.id, dialer);
            }
        }
    }

    private handleCast(cast: MemberCast, link: Link): void {
        const isMember = link.peer?.role === "control" && link.peer.controlGroup === this.identity.controlGroup;
        if (!isMember || link.peer?.id !== cast.from) {
            return;
        }
        if (cast.kind === "consensus") {
            this.runtime.receive(cast.from, cast.message);
            return;
        }
        const receiver = this.receivers.get(cast.from) ?? new SnapshotReceiver();
        this.receivers.set(cast.from, receiver);
        const whole = receiver.receive(cast.part);
        if (whole !== undefined) {
            this.runtime.receive(cast.from, whole);
        }
    }

    private sendToMember(to: string, message: ConsensusMessage<Command>): void {
        const from = this.context.settings.id;
        const dialer = this.dialers.get(to);
        if (message.kind !== "snapshot") {
            dialer?.cast({ kind: "consensus", from, message });
            return;
        }
        for (const part of listSnapshotParts(message)) {
            dialer?.cast({ kind: "snapshotPart", from, part });
        }
    }

    private async handleCall(call: ControlCall, link: Link): Promise<ControlAnswer> {
        if (link.peer?.controlGroup !== this.identity.controlGroup) {
            throw new KumquathallError(
                `this is control group "${this.identity.controlGroup}", not "${link.peer?.controlGroup}"`,
            );
        }
        switch (call.kind) {
            case "vouch":
                return { kind: "vouch", vouch: computeVouch(this.context.settings.id, this.runtime, this.machine) };
            case "subscribe":
                return { kind: "update", update: this.distributor.subscribe(link, call.since) };
            case "propose":
                return this.propose(call.command);
            case "query":
                return this.answerQuery(call.query);
            case "presence":
                return this.runtime.canServe()
                    ? this.leaderTask.recordPresence(call)
                    : this.buildRedirect();
        }
    }

    private buildRedirect(): ControlAnswer {
        const { leaderId } = this.runtime.getState();
        return { kind: "notLeader", leader: leaderId === this.context.settings.id ? undefined : leaderId };
    }

    private async propose(command: Command): Promise<ControlAnswer> {
        try {
            return { kind: "result", result: await this.runtime.propose(command) };
        }
        catch (error) {
            return error instanceof ConsensusError
                ? { kind: "notLeader", leader: error.leaderId }
                : { kind: "unavailable", message: describeError(error) };
        }
    }

    private answerQuery(query: Extract<ControlCall, { kind: "query" }>["query"]): ControlAnswer {
        if (!this.runtime.canServe()) {
            return this.buildRedirect();
        }
        if (query.kind === "audit") {
            return { kind: "audit", records: this.machine.getState().audit.takeLast(query.limit).toArray() };
        }
        return { kind: "status", status: buildStatus(this.context.settings.id, this.runtime, this.machine) };
    }
}
