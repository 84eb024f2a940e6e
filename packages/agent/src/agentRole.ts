import { createIdentity, type RoleContext, type RunningRole } from "@kumquathall/kernel";
import type { Link, PeerIdentity } from "@kumquathall/link";
import {
    type AnnounceMessage,
    type ConfigurationAnswer,
    type EntryToAgent,
    GroupState,
    type LoadReport,
    type RunMessage,
    type VmAttributes,
    VmState,
} from "@kumquathall/types";
import loadXxhash from "xxhash-wasm";
import type { AgentSettings } from "./agentSettings.js";
import { ConfigurationCache } from "./configurationCache.js";
import { decideStart, type StartDecision } from "./decideStart.js";
import { type EngineClient, ModelEngineClient, PlainEngineClient } from "./engineClient.js";
import { EngineMonitor } from "./engineMonitor.js";
import { EntryLinks } from "./entryLinks.js";
import { LeaseTask } from "./leaseTask.js";
import { registerAgentMetrics } from "./metrics.js";
import { OrderTask } from "./orderTask.js";
import { RunManager } from "./runManager.js";

const CONFIGURATION_INTERVAL_MS = 400;
const CONFIGURATION_TIMEOUT_MS = 1000;
const RELEASE_PROPOSE_TIMEOUT_MS = 5000;
const DRAIN_POLL_MS = 50;
/** The process stops waiting for control to release its replica group after this time, in milliseconds. */
const MAX_DRAIN_MS = 120_000;

/** Agent process: runs next to one engine or plain service and executes its requests and orders. */
export class AgentRole implements RunningRole {
    private readonly identity: PeerIdentity;
    private readonly cache: ConfigurationCache;
    private readonly engine: EngineClient;
    private monitor!: EngineMonitor;
    private leases!: LeaseTask;
    private orders!: OrderTask;
    private entries!: EntryLinks;
    private runs!: RunManager;
    private isLeaving = false;
    private isPulling = false;
    /** Id of the group whose release this agent has proposed. Reset if the proposal fails. */
    private proposedReleaseGroupId: string | undefined;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly context: RoleContext, private readonly settings: AgentSettings) {
        this.identity = createIdentity(context, "agent", settings.vm);
        this.cache = new ConfigurationCache(settings.vm);
        const { engine } = settings;
        this.engine = engine.kind === "model" ? new ModelEngineClient(engine.url) : new PlainEngineClient(engine.url);
    }

    static async start(context: RoleContext, settings: AgentSettings): Promise<AgentRole> {
        const role = new AgentRole(context, settings);
        await role.open();
        return role;
    }

    isReady(): boolean {
        return !this.isLeaving && this.monitor.isHealthy() && this.cache.hasLease(performance.now());
    }

    /** Announces that this endpoint is leaving, and waits until its group is released and no request runs. */
    async drain(): Promise<void> {
        this.isLeaving = true;
        this.entries.castAll(this.buildAnnouncement());
        const waitUntil = performance.now() + MAX_DRAIN_MS;
        while (this.cache.getVm()?.state === VmState.Assigned && performance.now() < waitUntil) {
            await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
        }
        await this.runs.waitUntilIdle();
    }

    async close(): Promise<void> {
        clearInterval(this.timer);
        this.orders.close();
        this.runs.close();
        this.monitor.close();
        this.leases.close();
        this.entries.close();
        await this.engine.close();
    }

    private async open(): Promise<void> {
        const { context, settings, identity, cache, engine } = this;
        const propose: EntryLinks["propose"] = (command, until) => this.entries.propose(command, until);
        this.leases = await LeaseTask.start({
            context,
            identity,
            vm: settings.vm,
            listen: settings.listen,
            cache,
            isEngineLoaded: () => this.monitor.isHealthy() && this.orders.isLoaded(),
        });
        this.orders = new OrderTask({
            vm: settings.vm,
            incarnation: identity.incarnation,
            cache,
            engine,
            logger: context.logger,
            getGrants: () => this.leases.getGrants(),
            propose,
            onRelease: () => undefined,
        });
        this.runs = new RunManager({
            vm: settings.vm,
            incarnation: identity.incarnation,
            engine,
            hash: await loadXxhash(),
            logger: context.logger,
            maxHeldBytes: settings.maxHeldBytes,
            decideStart: (message, remainingMs, running) => this.decide(message, remainingMs, running),
            propose,
            onEngineLost: () => this.monitor.markLost(),
        });
        this.monitor = new EngineMonitor({
            engine,
            logger: context.logger,
            onReport: report => this.reportLoad(report),
            onLost: () => void this.handleEngineLost(),
        });
        this.entries = new EntryLinks(settings.entries, context, identity, {
            onOpen: link => this.announce(link),
            onCast: (message, link) => this.handleCast(message as EntryToAgent | { kind: "configurationHint" }, link),
            onClose: link => this.runs.handleLinkClosed(link),
        });
        registerAgentMetrics(context.metrics, {
            countRunning: () => this.runs.countRunning(),
            hasLease: () => cache.hasLease(performance.now()),
        });
        this.timer = setInterval(() => void this.pullConfiguration(), CONFIGURATION_INTERVAL_MS);
    }

    private buildAnnouncement(): AnnounceMessage {
        const { settings, context } = this;
        const attributes: VmAttributes = {
            dataCentre: context.settings.dataCentre,
            fabricDomain: settings.fabricDomain,
            accelerators: settings.accelerators,
            kind: settings.engine.kind,
            fencing: settings.engine.fencing,
            address: settings.listen,
            isLeaving: this.isLeaving,
        };
        if (settings.engine.service !== undefined) {
            attributes.service = settings.engine.service;
        }
        return {
            kind: "announce",
            vm: settings.vm,
            incarnation: this.identity.incarnation,
            attributes,
            isLeaving: this.isLeaving,
        };
    }

    private announce(link: Link): void {
        link.cast(this.buildAnnouncement());
        void this.pullConfiguration();
    }

    private handleCast(message: EntryToAgent | { kind: "configurationHint" }, link: Link): void {
        if (message.kind === "configurationHint") {
            void this.pullConfiguration();
            return;
        }
        this.runs.handle(message, link);
    }

    private reportLoad(report: LoadReport): void {
        this.entries?.castAll({ kind: "load", vm: this.settings.vm, report });
    }

    /** Pulls configuration changes from the entries until one of them has a lease, then executes pending orders. */
    private async pullConfiguration(): Promise<void> {
        if (this.isPulling) {
            return;
        }
        this.isPulling = true;
        for (const link of this.entries.list()) {
            const sentAt = performance.now();
            const call = { kind: "configuration", since: this.cache.getRevision(), vm: this.settings.vm };
            const answer = await link.call(call, CONFIGURATION_TIMEOUT_MS).catch(() => undefined) as
                | ConfigurationAnswer
                | undefined;
            if (answer !== undefined) {
                this.cache.applyAnswer(answer, sentAt);
                if (answer.leaseMs > 0) {
                    break;
                }
            }
        }
        this.isPulling = false;
        void this.orders.check();
        this.finishDrainedGroup();
    }

    /** If this VM is the head of a draining group and no request runs any more, proposes the group's release. */
    private finishDrainedGroup(): void {
        const group = this.cache.getGroup();
        const isDrained = group?.state === GroupState.Draining && group.vms[0] === this.settings.vm
            && this.runs.countRunning() === 0;
        if (isDrained && this.proposedReleaseGroupId !== group.id) {
            void this.proposeRelease(group.id, "drained");
        }
    }

    /** Proposes the release of a group whose engine lost its state, so that control forms a new one. */
    private async handleEngineLost(): Promise<void> {
        this.orders.forgetLoad();
        const group = this.cache.getGroup();
        if (group !== undefined && group.state !== GroupState.Releasing && group.loadedVms.includes(this.settings.vm)) {
            await this.proposeRelease(group.id, `the engine of ${this.settings.vm} was lost`);
        }
    }

    private async proposeRelease(groupId: string, reason: string): Promise<void> {
        this.proposedReleaseGroupId = groupId;
        const command = { kind: "releaseGroup" as const, groupId, reason, at: new Date().toISOString() };
        await this.entries.propose(command, performance.now() + RELEASE_PROPOSE_TIMEOUT_MS).catch(() => {
            this.proposedReleaseGroupId = undefined;
        });
    }

    private decide(message: RunMessage, remainingMs: number, running: number): StartDecision {
        const now = performance.now();
        const isPlain = this.settings.engine.kind === "plain";
        return decideStart({
            isStopping: this.isLeaving && isPlain,
            hasConfigurationLease: this.cache.hasLease(now),
            isEngineHealthy: this.monitor.isHealthy() && (isPlain || this.orders.isLoaded()),
            group: this.cache.getGroup(),
            vm: this.settings.vm,
            vmState: this.cache.getVm()?.state,
            isPlain,
            leases: this.leases.getHeadLeases(),
            requestedGroupId: message.groupId,
            requestedFencing: message.fencing,
            remainingMs,
            running,
            maxRunning: this.settings.maxRunning,
            isQuarantined: this.cache.isQuarantined(message.fingerprint),
            now,
        });
    }
}
