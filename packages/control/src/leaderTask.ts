import type { ConsensusRuntime } from "@kumquathall/consensus";
import { describeError } from "@kumquathall/errors";
import type { Logger } from "@kumquathall/logger";
import { planGroups } from "@kumquathall/planner";
import type { Command, CommandResult, ControlAnswer, ControlCall, PresenceItem } from "@kumquathall/types";
import { randomUUID } from "node:crypto";
import type { ControlSettings } from "./controlSettings.js";
import type { ControlStateMachine } from "./controlStateMachine.js";
import { decidePresence } from "./presence.js";
import { ShareTable } from "./shareTable.js";

type PresenceCall = Extract<ControlCall, { kind: "presence" }>;

interface EntryPresence {
    entry: string;
    incarnation: string;
    sequence: number;
    receivedAt: number;
    items: Map<string, PresenceItem>;
}

export interface LeaderTaskOptions {
    runtime: ConsensusRuntime<Command, CommandResult>;
    stateMachine: ControlStateMachine;
    settings: ControlSettings;
    logger: Logger;
}

const ENTRY_TIMEOUT_MS = 2000;
/** Longer than the lease under which an entry uses its share. */
const SHARE_TIMEOUT_MS = 2500;
const SAFE_POINT_INTERVAL_MS = 30_000;
/** Newest revisions whose removals are kept, so that a slightly lagging reader needs no snapshot. */
const KEPT_REVISIONS = 2000;
/** Answered ledger keys that carry a time are removed after this long. */
const LEDGER_RETENTION_MS = 24 * 3600 * 1000;

/**
 * Duties of the leader: from the entries' reports it registers VMs and declares them lost, plans groups and divides
 * capacity among entries; it also raises the safe point.
 */
export class LeaderTask {
    private readonly entries = new Map<string, EntryPresence>();
    private readonly shares = new ShareTable({ expireAfterMs: SHARE_TIMEOUT_MS });
    private lastListed = new Map<string, number>();
    private leaderSince: number | undefined;
    private lastSafePointAt = performance.now();
    private isDeciding = false;
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: LeaderTaskOptions) {
        this.timer = setInterval(() => void this.decide(), options.settings.decisionIntervalMs);
    }

    /** Records which agents an entry is linked to, and answers with its shares of capacity. */
    recordPresence(call: PresenceCall): ControlAnswer {
        const now = performance.now();
        this.shares.recordDemand(call.entry, new Map(call.demands.map(item => [item.service, item.demand])), now);
        const known = this.entries.get(call.entry);
        const isNext = known !== undefined && known.incarnation === call.incarnation
            && known.sequence + 1 === call.sequence;
        if (!call.isFull && !isNext) {
            return { kind: "presence", wantsFull: true, shares: [] };
        }
        const items = call.isFull || known === undefined ? new Map<string, PresenceItem>() : known.items;
        call.up.forEach(item => items.set(item.vm, item));
        call.down.forEach(vm => items.delete(vm));
        this.entries.set(call.entry, {
            entry: call.entry,
            incarnation: call.incarnation,
            sequence: call.sequence,
            receivedAt: now,
            items,
        });
        const shares = call.demands.map(item => ({
            service: item.service,
            limit: this.shares.computeShare(call.entry, item.service, item.capacity, now),
        }));
        return { kind: "presence", wantsFull: false, shares };
    }

    close(): void {
        clearInterval(this.timer);
    }

    private async decide(): Promise<void> {
        if (!this.options.runtime.canServe()) {
            this.resetLeaderState();
            return;
        }
        if (this.isDeciding) {
            return;
        }
        this.isDeciding = true;
        try {
            const now = performance.now();
            this.leaderSince ??= now;
            await this.decidePresence(now);
            await this.decideGroups();
            await this.raiseSafePoint(now);
        }
        catch (error) {
            this.options.logger.warn("decision-failed", { message: describeError(error) });
        }
        this.isDeciding = false;
    }

    private resetLeaderState(): void {
        this.leaderSince = undefined;
        this.entries.clear();
        this.lastListed.clear();
    }

    private async decidePresence(now: number): Promise<void> {
        const { commands, lastListed } = decidePresence({
            reports: [...this.entries.values()],
            configuration: this.options.stateMachine.getState().configuration,
            lastListed: this.lastListed,
            leaderSince: this.leaderSince ?? now,
            now,
            at: new Date().toISOString(),
            options: { entryTimeoutMs: ENTRY_TIMEOUT_MS, lostAfterMs: this.options.settings.lostAfterMs },
        });
        this.lastListed = lastListed;
        await this.proposeAll(commands);
    }

    private async decideGroups(): Promise<void> {
        const commands = planGroups({
            configuration: this.options.stateMachine.getState().configuration,
            at: new Date().toISOString(),
            createGroupId: () => `g-${randomUUID().slice(0, 8)}`,
        });
        await this.proposeAll(commands);
    }

    private async raiseSafePoint(now: number): Promise<void> {
        if (now - this.lastSafePointAt < SAFE_POINT_INTERVAL_MS) {
            return;
        }
        this.lastSafePointAt = now;
        const { configuration } = this.options.stateMachine.getState();
        const revision = Math.max(0, configuration.revision - KEPT_REVISIONS);
        const wallClock = Date.now();
        const command: Command = {
            kind: "raiseSafePoint",
            revision,
            ledgerTimeMs: wallClock - LEDGER_RETENTION_MS,
            at: new Date(wallClock).toISOString(),
        };
        await this.proposeAll([command]);
    }

    private async proposeAll(commands: Command[]): Promise<void> {
        const results = await Promise.all(commands.map(command => this.options.runtime.propose(command)));
        for (const [at, result] of results.entries()) {
            const command = commands[at];
            this.options.logger.info("decision", {
                command: command.kind,
                subject: "groupId" in command ? command.groupId : "vm" in command ? command.vm : undefined,
                result: result.kind,
                message: result.kind === "refused" ? result.message : undefined,
            });
        }
    }
}
