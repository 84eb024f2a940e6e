import { ConsensusError, type ConsensusMessage, ConsensusRuntime } from "@kumquathall/consensus";
import { getMemberAddress } from "@kumquathall/control-directory";
import { isDataCentreEvacuated } from "@kumquathall/control-state";
import { findColdFault, findCrashFault, findLimitFault, findWantFault } from "@kumquathall/endpoint-registry";
import { describeError, KumquathallError } from "@kumquathall/errors";
import {
    createIdentity,
    createInputFaultLog,
    createLinkFaultHandler,
    type RoleContext,
    type RunningRole,
    selectUsable,
    StartSteps,
} from "@kumquathall/kernel";
import { type Link, LinkDialer, LinkListener, parseAddress, type PeerIdentity } from "@kumquathall/link";
import type { InputFaultLog } from "@kumquathall/logger";
import { StallWatch } from "@kumquathall/peer-timers";
import { LogStore, NodeDisk } from "@kumquathall/storage";
import type {
    ColdFact,
    Command,
    CommandResult,
    ConfigurationValue,
    ControlAnswer,
    ControlCall,
    CrashEvidenceFact,
    EndpointFact,
    LimitFact,
    ModelDemandCast,
    PermitWant,
    TrafficConfiguration,
} from "@kumquathall/types";
import { createVersionedMap, type VersionedMap } from "@kumquathall/versioned-map";
import { readContacts } from "./controlContacts.js";
import { ControlDiscovery } from "./controlDiscovery.js";
import type { ControlSettings } from "./controlSettings.js";
import { ControlStateMachine } from "./controlStateMachine.js";
import { DemandTask } from "./demandTask.js";
import { Distributor } from "./distributor.js";
import { EndpointTask } from "./endpointTask.js";
import { EvacuationOrders } from "./evacuationOrders.js";
import { LeaderCaller } from "./leaderCaller.js";
import { LeaderTask } from "./leaderTask.js";
import { LimitTask } from "./limitTask.js";
import { readMemberIdentity } from "./memberIdentity.js";
import { registerControlMetrics } from "./metrics.js";
import { LateOrderError, MAX_ORDER_AGE_MS, type OperatorOrder } from "./operatorOrder.js";
import { PublishRecorder } from "./publishRecorder.js";
import { QuarantineTask } from "./quarantineTask.js";
import { describeRecovery } from "./recoveryReport.js";
import { buildRevisionReport } from "./revisionReport.js";
import { listSnapshotParts, type SnapshotPart, SnapshotReceiver } from "./snapshotTransfer.js";
import { buildStatus } from "./status.js";
import { type PublishReceipt, TrafficPublisher } from "./trafficPublisher.js";

/** A consensus message between two members, or one part of a snapshot. */
type MemberCast =
    | { kind: "consensus"; from: string; message: ConsensusMessage<Command> }
    | { kind: "snapshotPart"; from: string; part: SnapshotPart };

type ControlCast =
    | MemberCast
    | { kind: "endpointFacts"; facts: EndpointFact[] }
    | { kind: "crashEvidence"; facts: CrashEvidenceFact[] }
    | { kind: "endpointLimits"; facts: LimitFact[] }
    | ModelDemandCast
    | { kind: "coldEndpoints"; facts: ColdFact[] }
    /** A gateway has received its first request; sent by the gateway, and by members to which this was reported. */
    | { kind: "trafficSeen" };

export interface ControlRoleOptions {
    /** Whether this role plans replica groups and sends their orders through sidecars; otherwise agents run engines. */
    canOrderEngines?: boolean;
}

const NO_CONFIGURATION = createVersionedMap<ConfigurationValue>();

/** One member of the control group. */
export class ControlRole implements RunningRole {
    private readonly stateMachine = new ControlStateMachine();
    private readonly stallWatch = new StallWatch();
    private readonly distributor: Distributor;
    private readonly identity: PeerIdentity;
    private readonly faults: InputFaultLog;
    private readonly dialers = new Map<string, LinkDialer>();
    /** Snapshots being received, by sender. */
    private readonly receivers = new Map<string, SnapshotReceiver>();
    private listener: LinkListener | undefined;
    private runtime!: ConsensusRuntime<Command, CommandResult>;
    private leaderTask!: LeaderTask;
    private leaderCaller!: LeaderCaller;
    private trafficPublisher!: TrafficPublisher;
    private publishRecorder!: PublishRecorder;
    private evacuationOrders!: EvacuationOrders;
    private endpointTask: EndpointTask | undefined;
    private quarantineTask: QuarantineTask | undefined;
    private limitTask: LimitTask | undefined;
    private demandTask: DemandTask | undefined;
    /** Absent if the settings list the members. */
    private discovery: ControlDiscovery | undefined;

    private constructor(
        private readonly context: RoleContext,
        private readonly settings: ControlSettings,
        private readonly id: string,
        private readonly members: readonly string[],
        private readonly options: ControlRoleOptions,
    ) {
        this.identity = createIdentity(context, "control", id);
        this.faults = createInputFaultLog(context);
        this.distributor = new Distributor(() => this.getReadableConfiguration(), context.logger);
    }

    static async start(
        context: RoleContext,
        settings: ControlSettings,
        options: ControlRoleOptions = {},
    ): Promise<ControlRole> {
        const { id, members } = await readMemberIdentity(context, settings);
        const role = new ControlRole(context, settings, id, members, options);
        await role.open();
        return role;
    }

    /**
     * Publishes a traffic configuration, unless this version or a newer one is in force. Rejects with
     * {@link ConfigurationSizeError} if it is too large, and with {@link KumquathallError} if no leader confirms it.
     */
    async publishTraffic(traffic: TrafficConfiguration, document: string): Promise<PublishReceipt> {
        try {
            const receipt = await this.trafficPublisher.publish(traffic, document);
            this.publishRecorder.recordReceipt(receipt);
            return receipt;
        }
        catch (error) {
            this.publishRecorder.recordFailure(traffic.version, error);
            throw error;
        }
    }

    /**
     * Reads the newest traffic document; `undefined` before the first. A majority has confirmed it, since the leader
     * answers only under its lease. Rejects with {@link KumquathallError} if no leader answers in time.
     */
    async readTraffic(): Promise<string | undefined> {
        const answer = await this.leaderCaller.call({ kind: "readTraffic" });
        return answer.kind === "traffic" ? answer.document : undefined;
    }

    /**
     * Orders or withdraws the evacuation of a data centre; resolves once that is committed, also if it changes nothing.
     * Rejects with {@link UnknownDataCentreError}, {@link LateOrderError} or {@link SupersededOrderError}, and with
     * {@link KumquathallError} if no leader confirms it.
     */
    setEvacuation(dataCentre: string, isEvacuated: boolean, order: OperatorOrder): Promise<void> {
        return this.evacuationOrders.set(dataCentre, isEvacuated, order);
    }

    /** Longest time that input which is read now may have waited at this process, in milliseconds. */
    measureWaitMs(): number {
        return this.stallWatch.measureWaitMs();
    }

    /** Revision of the newest configuration that this process has, committed for good. */
    getConfigurationRevision(): number {
        return this.stateMachine.getState().configuration.revision;
    }

    /** Records a fact about an endpoint and, if it is new, sends it to the other members. */
    recordEndpointFact(fact: EndpointFact): void {
        if (this.endpointTask?.record(fact, fact.kind === "observation" ? fact.address : fact.id) === true) {
            this.discovery?.castAll({ kind: "endpointFacts", facts: [fact] });
        }
    }

    /** Returns whether a fact about an endpoint may be recorded; `false` for an unknown one if ids are too many. */
    admitEndpoint(fact: EndpointFact): boolean {
        return this.endpointTask?.admit(fact) !== false;
    }

    /**
     * Whether facts that this process records reach the control group: it is a member, or linked to one. Without either,
     * what it confirmed would be known to nobody else.
     */
    canRecordFacts(): boolean {
        return this.discovery?.canReachMembers() !== false;
    }

    /** Replaces the seeds, for example after the settings were reloaded. */
    setSeeds(seeds: string[]): void {
        this.discovery?.setSeeds(seeds);
    }

    /**
     * Records that the newest incarnation of an endpoint leaves, which has said so within the last `ageMs` milliseconds;
     * `false` if ids are too many. A process that is no member has it recorded by one, since it may know an earlier incarnation
     * only. Rejects with {@link LateOrderError} if the incarnation has started since, and with {@link KumquathallError} if no
     * member records it.
     */
    async recordDeparture(id: string, ageMs: number): Promise<boolean> {
        if (this.discovery === undefined || this.discovery.isMember()) {
            return this.recordOwnDeparture(id, ageMs) !== undefined;
        }
        const answer = await this.discovery.callMembers({ kind: "depart", id, ageMs }, "departed");
        if (answer === undefined) {
            throw new KumquathallError("no control member has confirmed the departure; send it again");
        }
        if (answer.bornMs !== undefined) {
            this.endpointTask?.record({ kind: "departure", id, bornMs: answer.bornMs }, id);
        }
        return answer.bornMs !== undefined;
    }

    isReady(): boolean {
        return this.runtime.getState().leaderId !== undefined;
    }

    /** Does nothing: a control member holds no client requests, and the others elect a new leader once it stops. */
    drain(): Promise<void> {
        return Promise.resolve();
    }

    async close(): Promise<void> {
        this.stallWatch.close();
        this.leaderTask.close();
        this.discovery?.close();
        this.endpointTask?.close();
        this.quarantineTask?.close();
        this.limitTask?.close();
        this.demandTask?.close();
        this.distributor.close();
        this.listener?.close();
        for (const dialer of this.dialers.values()) {
            dialer.close();
        }
        await this.runtime.close();
    }

    /** The configuration that readers get: none at a process that is no member, whose log may be behind for any time. */
    private getReadableConfiguration(): VersionedMap<ConfigurationValue> {
        return this.discovery?.isMember() === false
            ? NO_CONFIGURATION
            : this.stateMachine.getState().configuration;
    }

    private async open(): Promise<void> {
        const { context, settings } = this;
        const disk = new NodeDisk(settings.dataFolder);
        const { store, recovered } = await LogStore.open<Command>({
            disk,
            onFull: isFull =>
                isFull
                    ? context.logger.warn("disk-full", { folder: settings.dataFolder })
                    : context.logger.info("disk-has-room", { folder: settings.dataFolder }),
        });
        this.runtime = new ConsensusRuntime<Command, CommandResult>({
            id: this.id,
            members: this.members,
            snapshotEvery: settings.snapshotEvery,
            store,
            recovered,
            stateMachine: this.stateMachine,
            transport: { send: (to, message) => this.sendToMember(to, message) },
            logger: context.logger,
            onFatal: error => context.fail(error),
            onApplied: () => this.distributor.scheduleAnnouncement(),
        });
        context.logger.info("log-recovered", describeRecovery(this.runtime, this.stateMachine, recovered));
        this.leaderTask = new LeaderTask({
            runtime: this.runtime,
            stateMachine: this.stateMachine,
            settings,
            logger: context.logger,
        });
        this.leaderCaller = new LeaderCaller({
            id: this.id,
            runtime: this.runtime,
            logger: context.logger,
            answerLocally: call => this.answerAsLeader(call),
            getLeaderLink: leaderId => this.dialers.get(leaderId)?.getLink(),
            listLinks: () => this.discovery?.listLinks() ?? [],
        });
        this.trafficPublisher = new TrafficPublisher({
            stateMachine: this.stateMachine,
            callLeader: (call, timeoutMs) => this.leaderCaller.call(call, timeoutMs),
        });
        this.evacuationOrders = new EvacuationOrders({
            runtime: this.runtime,
            stateMachine: this.stateMachine,
            logger: context.logger,
            callLeader: (call, timeoutMs, canSend) => this.leaderCaller.call(call, timeoutMs, canSend),
            listDataCentres: () =>
                settings.dataCentres
                    ?? [context.settings.dataCentre, ...this.endpointTask?.listDataCentres() ?? []],
        });
        this.publishRecorder = new PublishRecorder({
            runtime: this.runtime,
            metrics: context.metrics,
            logger: context.logger,
        });
        if (settings.founding !== undefined) {
            const { founding, listen } = settings;
            this.discovery = new ControlDiscovery({
                id: this.id,
                identity: this.identity,
                listen,
                founding,
                runtime: this.runtime,
                disk,
                storedContacts: await readContacts(disk, context.logger),
                handlers: {
                    onOpen: link => this.addMemberLink(link),
                    onCall: (message, link) => this.handleCall(message as ControlCall, link),
                    onFault: createLinkFaultHandler(this.faults),
                },
                logger: context.logger,
                onPeersChange: peers => this.updateDialers(peers),
            });
        }
        this.openTasks(recovered.hardState.term);
        registerControlMetrics(context.metrics, {
            runtime: this.runtime,
            stateMachine: this.stateMachine,
            isDiskFull: () => store.isDiskFull(),
        });
        this.listener = await LinkListener.listen({
            address: parseAddress(settings.listen),
            tls: context.tls?.(),
            identity: this.identity,
            handlers: {
                onCall: (message, link) => this.handleCall(message as ControlCall, link),
                onCast: (message, link) => this.handleCast(message as MemberCast, link),
                onOpen: link => {
                    this.endpointTask?.addLink(link);
                    this.discovery?.addLink(link);
                },
                onFault: createLinkFaultHandler(this.faults),
                onClose: link => {
                    this.discovery?.removeLink(link);
                    this.distributor.removeWatcher(link);
                    this.endpointTask?.removeLink(link);
                    this.quarantineTask?.removeLink(link);
                    this.limitTask?.removeLink(link);
                    this.demandTask?.removeLink(link);
                },
            },
        });
        this.dialMembers();
    }

    /** Starts engine orders if the options ask for them. */
    private openTasks(recoveredTerm: number): void {
        const { logger } = this.context;
        if (this.options.canOrderEngines === true) {
            const options = { runtime: this.runtime, stateMachine: this.stateMachine, logger };
            const demandTask = new DemandTask({
                runtime: this.runtime,
                logger,
                faults: this.faults,
                metrics: this.context.metrics,
            });
            this.demandTask = demandTask;
            this.endpointTask = new EndpointTask({
                ...options,
                faults: this.faults,
                demand: demandTask,
                recoveredTerm,
                steps: new StartSteps(logger),
                getNamedLimit: endpoint => this.limitTask?.getNamedLimit(endpoint),
                isEvacuated: dataCentre =>
                    isDataCentreEvacuated(this.stateMachine.getState().configuration, dataCentre),
            });
            this.quarantineTask = new QuarantineTask(options);
            this.limitTask = new LimitTask({
                runtime: this.runtime,
                logger,
                hasEndpoint: key => this.endpointTask?.hasEndpoint(key) === true,
            });
        }
    }

    private dialMembers(): void {
        for (const member of this.members) {
            this.dialMember(member);
        }
    }

    private dialMember(member: string): LinkDialer | undefined {
        if (member === this.id) {
            return undefined;
        }
        const known = this.dialers.get(member);
        if (known !== undefined) {
            return known;
        }
        const listed = this.settings.members?.find(item => item.id === member)?.address;
        const dialer = new LinkDialer({
            address: parseAddress(listed ?? getMemberAddress(member)),
            tls: this.context.tls,
            identity: this.identity,
            handlers: { onFault: createLinkFaultHandler(this.faults) },
        });
        this.dialers.set(member, dialer);
        return dialer;
    }

    private updateDialers(peers: readonly string[]): void {
        for (const [peer, dialer] of this.dialers) {
            if (!peers.includes(peer)) {
                dialer.close();
                this.dialers.delete(peer);
            }
        }
        peers.forEach(peer => this.dialMember(peer));
    }

    /** Tells a newly linked member of traffic and of all endpoints: it may have restarted, and lead before others link. */
    private addMemberLink(link: Link): void {
        this.endpointTask?.addMember();
        if (this.endpointTask?.hasTraffic() === true) {
            link.cast({ kind: "trafficSeen" });
        }
    }

    private handleCast(cast: ControlCast, link: Link): void {
        if (cast.kind === "trafficSeen") {
            this.endpointTask?.recordTraffic(link.peer?.id ?? "");
            return;
        }
        if (cast.kind === "endpointFacts") {
            cast.facts.forEach(fact => this.endpointTask?.record(fact, link.peer?.id ?? ""));
            return;
        }
        if (cast.kind === "modelDemand") {
            this.demandTask?.record(cast, link);
            return;
        }
        const selection = { faults: this.faults, writer: link.peer?.id ?? "" };
        if (cast.kind === "crashEvidence") {
            this.quarantineTask?.record(
                selectUsable({ ...selection, kind: "crash-evidence", facts: cast.facts, findFault: findCrashFault }),
            );
            return;
        }
        if (cast.kind === "endpointLimits") {
            this.limitTask?.record(
                selectUsable({ ...selection, kind: "endpoint-limit", facts: cast.facts, findFault: findLimitFault }),
            );
            return;
        }
        if (cast.kind === "coldEndpoints") {
            this.limitTask?.recordColds(
                selectUsable({ ...selection, kind: "cold-endpoint", facts: cast.facts, findFault: findColdFault }),
            );
            return;
        }
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
        const message = receiver.receive(cast.part);
        if (message !== undefined) {
            this.runtime.receive(cast.from, message);
        }
    }

    private sendToMember(to: string, message: ConsensusMessage<Command>): void {
        const from = this.id;
        const dialer = this.dialMember(to);
        // A new member may use the same address; it must not answer messages that were meant for the former one.
        if (dialer?.getLink()?.peer?.id !== to) {
            return;
        }
        if (message.kind !== "snapshot") {
            dialer.cast({ kind: "consensus", from, message });
            return;
        }
        for (const part of listSnapshotParts(message)) {
            dialer.cast({ kind: "snapshotPart", from, part });
        }
    }

    private async handleCall(call: ControlCall, link: Link): Promise<ControlAnswer> {
        if (link.peer?.controlGroup !== this.identity.controlGroup) {
            throw new KumquathallError(
                `this member belongs to control group "${this.identity.controlGroup}", not "${link.peer?.controlGroup}"`,
            );
        }
        switch (call.kind) {
            case "vouch":
                return { kind: "vouch", vouch: buildRevisionReport(this.id, this.runtime, this.stateMachine) };
            case "join":
                this.discovery?.recordJoiner(call.member);
                return this.buildMembers();
            case "members":
                return this.buildMembers();
            case "depart":
                return this.discovery?.isMember() === false
                    ? this.buildRedirect()
                    : this.answerDeparture(call.id, call.ageMs ?? 0);
            case "readTraffic":
                return this.answerRead();
            case "watchEndpoints":
                this.quarantineTask?.watch(link);
                this.limitTask?.watch(link);
                this.demandTask?.watch(link);
                this.endpointTask?.watch(link);
                return { kind: "endpoints", facts: [] };
            case "takePermits":
                return this.grantPermits(call.wants, link);
            case "watchRevision":
                return this.distributor.watch(link);
            case "readConfiguration":
                return this.distributor.read(call);
            case "propose":
                return this.isLateOrder(call.command) ? this.refuseLateOrder() : this.propose(call.command);
            case "query":
                return this.answerQuery(call.query);
            case "presence":
                return this.runtime.canServe()
                    ? this.leaderTask.recordPresence(call)
                    : this.buildRedirect();
        }
    }

    private answerDeparture(id: string, ageMs: number): ControlAnswer {
        return { kind: "departed", bornMs: this.recordOwnDeparture(id, ageMs + this.measureWaitMs()) };
    }

    /**
     * Returns the start of the incarnation that leaves, in Unix milliseconds; `undefined` if ids are too many. A departure
     * names no incarnation, so that it counts for one that had started before it can have been sent.
     */
    private recordOwnDeparture(id: string, ageMs: number): number | undefined {
        const now = Date.now();
        const knownMs = this.endpointTask?.getBornMs(id) ?? 0;
        // A start in the future shows a clock that is ahead, by which nothing can be told.
        if (knownMs > now - ageMs && knownMs <= now) {
            this.context.logger.warn("departure-late", { endpoint: id, ageMs: Math.round(ageMs) });
            throw new LateOrderError(
                `the departure has no effect: ${id} has started since the departure may have been sent; send it again on a `
                    + "new connection if it leaves now",
            );
        }
        const bornMs = knownMs || now;
        const fact: EndpointFact = { kind: "departure", id, bornMs };
        if (!this.admitEndpoint(fact)) {
            return undefined;
        }
        this.recordEndpointFact(fact);
        return bornMs;
    }

    private grantPermits(wants: PermitWant[], link: Link): ControlAnswer {
        const writer = link.peer?.id ?? "";
        const usable = selectUsable({
            faults: this.faults,
            kind: "permit-want",
            writer,
            facts: wants,
            findFault: findWantFault,
        });
        return this.limitTask?.grant(writer, usable) ?? this.buildRedirect();
    }

    /** Whether an operator's order may have waited at this process for longer than its caller did at another. */
    private isLateOrder(command: Command): boolean {
        return (command.kind === "drain" || command.kind === "undrain") && this.measureWaitMs() > MAX_ORDER_AGE_MS;
    }

    private refuseLateOrder(): ControlAnswer {
        const ageMs = Math.round(this.measureWaitMs());
        this.context.logger.warn("order-late", { call: "propose", ageMs });
        return { kind: "unavailable", message: `the order may have waited here for ${ageMs} ms; send it again` };
    }

    private buildMembers(): ControlAnswer {
        const gateways = this.endpointTask?.countWatchers() ?? 0;
        return this.discovery?.buildMembersAnswer(gateways)
            ?? { kind: "members", members: [...this.runtime.getMembers()], gateways };
    }

    private buildRedirect(): ControlAnswer {
        const { leaderId } = this.runtime.getState();
        return { kind: "notLeader", leader: leaderId === this.id ? undefined : leaderId };
    }

    private answerAsLeader(call: ControlCall): Promise<ControlAnswer> {
        return call.kind === "propose" ? this.propose(call.command) : Promise.resolve(this.answerRead());
    }

    private answerRead(): ControlAnswer {
        return this.runtime.canServe()
            ? { kind: "traffic", document: this.stateMachine.getState().trafficDocument }
            : this.buildRedirect();
    }

    private async propose(command: Command): Promise<ControlAnswer> {
        try {
            const result = await this.evacuationOrders.propose(command);
            this.publishRecorder.recordResult(command, result);
            return { kind: "result", result };
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
            return { kind: "audit", records: this.stateMachine.getState().audit.takeLast(query.limit).toArray() };
        }
        return { kind: "status", status: buildStatus(this.id, this.runtime, this.stateMachine) };
    }
}
