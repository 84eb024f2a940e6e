import type { Logger } from "@kumquathall/logger";
import type { LogStore, RecoveredState } from "@kumquathall/storage";
import type { HardState, LogEntry, LogPayload, Snapshot } from "@kumquathall/types";
import { ConsensusError } from "./errors.js";
import { canServeRead } from "./lease.js";
import {
    getEntries,
    getLastIndex,
    getMembers,
    getMembersAt,
    getTermAt,
    hasCopy,
    isChangingMembers,
    listHolders,
} from "./log.js";
import { PayloadSizes } from "./payloadSizes.js";
import { ProposalWaiters, type Waiter } from "./proposalWaiters.js";
import {
    type ConsensusEffect,
    type ConsensusEvent,
    type ConsensusMessage,
    type ConsensusOptions,
    type ConsensusState,
    DEFAULT_CONSENSUS_OPTIONS,
} from "./state.js";
import { createConsensusState, stepConsensus } from "./step.js";
import { SuspensionDetector } from "./suspensionDetector.js";

/** Sends messages to other members; may lose, duplicate and reorder them. */
export interface ConsensusTransport<Payload> {
    send(to: string, message: ConsensusMessage<Payload>): void;
}

/** State machine to which the log's committed commands are applied. */
export interface StateMachine<Payload, Result> {
    /** Applies one committed command and returns its result. */
    apply(command: Payload, index: number, term: number): Result;
    /** Encodes the state at the time of the call, without blocking the event loop for long. */
    saveSnapshot(): Promise<Uint8Array>;
    loadSnapshot(data: Uint8Array): void;
}

export interface ConsensusRuntimeOptions<Payload, Result> {
    id: string;
    members: readonly string[];
    store: LogStore<Payload>;
    recovered: RecoveredState<Payload>;
    stateMachine: StateMachine<Payload, Result>;
    transport: ConsensusTransport<Payload>;
    logger: Logger;
    timing?: ConsensusOptions;
    /** Called when storage fails: the process must exit. */
    onFatal: (error: unknown) => void;
    onApplied?: () => void;
    onRole?: (role: string, term: number) => void;
    /** Applied entries after which a new snapshot is taken. */
    snapshotEvery?: number;
    /** Returns numbers in [0, 1) that spread the election timeouts; `Math.random` by default. */
    random?: () => number;
}

const TICK_MS = 20;
const DEFAULT_SNAPSHOT_EVERY = 4000;
/** Most entries kept in the log after a snapshot covers them, so that a slightly lagging member needs no snapshot. */
const MAX_KEPT_ENTRIES = 1000;
/** Entries that may wait for the disk, in bytes of their payloads; a member whose disk stays full or slow ends above. */
const MAX_WAITING_BYTES = 64 * 1024 * 1024;

/** An effect that waits for a disk write, or the start of a log segment after this member took a snapshot. */
type OutboxItem<Payload> = ConsensusEffect<Payload> | { kind: "startSegment"; snapshot: Snapshot };

interface PendingProposal<Payload, Result> {
    command: Payload;
    resolve: (result: Result) => void;
    reject: (error: Error) => void;
}

/** Runs one member: connects the pure transitions to clock, disk and network, and applies committed entries. */
export class ConsensusRuntime<Payload, Result> {
    private state: ConsensusState<Payload>;
    private readonly timing: ConsensusOptions;
    private readonly random: () => number;
    private appliedIndex: number;
    private readonly waiters = new ProposalWaiters<Result>();
    private proposals: PendingProposal<Payload, Result>[] = [];
    private isProposalScheduled = false;
    private outbox: OutboxItem<Payload>[] = [];
    /** Bytes of the payloads in the outbox and in the write under way. */
    private waitingBytes = 0;
    private isSnapshotting = false;
    private isWriting = false;
    private isClosed = false;
    private lastSnapshot: Snapshot | undefined;
    private readonly suspensionDetector = new SuspensionDetector();
    private readonly timer: NodeJS.Timeout;

    constructor(private readonly options: ConsensusRuntimeOptions<Payload, Result>) {
        const sizes = new PayloadSizes();
        this.random = options.random ?? Math.random;
        this.timing = {
            measurePayload: payload => sizes.measure(payload),
            ...options.timing ?? DEFAULT_CONSENSUS_OPTIONS,
        };
        const { recovered } = options;
        this.lastSnapshot = recovered.snapshot;
        if (recovered.snapshot !== undefined) {
            options.stateMachine.loadSnapshot(recovered.snapshot.data);
        }
        this.appliedIndex = recovered.snapshot?.index ?? 0;
        this.state = createConsensusState<Payload>({
            id: options.id,
            members: recovered.snapshot?.members ?? options.members,
            now: performance.now(),
            random: this.random(),
            hardState: recovered.hardState,
            snapshotIndex: recovered.snapshot?.index,
            snapshotTerm: recovered.snapshot?.term,
            entries: recovered.entries,
            timing: this.timing,
        });
        this.timer = setInterval(
            () => this.handle({ kind: "tick", now: performance.now(), random: this.random() }),
            TICK_MS,
        );
    }

    /** Current state of the member; must not be modified. */
    getState(): ConsensusState<Payload> {
        return this.state;
    }

    /** Index of the newest entry that the state machine has applied. */
    getAppliedIndex(): number {
        return this.appliedIndex;
    }

    /** Members of the control group according to this member's log. */
    getMembers(): readonly string[] {
        return getMembers(this.state);
    }

    /** Members whose disks hold the log up to an index, as far as this member knows. Only the leader knows of others. */
    listHolders(index: number): string[] {
        return listHolders(this.state, index);
    }

    /** Whether the disk of a member or learner holds the log up to an index, all that is committed by default, as far as known. */
    hasCopy(process: string, index: number = this.state.commitIndex): boolean {
        return hasCopy(this.state, process, index);
    }

    /** Whether the log holds a change of members that is not committed, as far as this member knows. */
    isChangingMembers(): boolean {
        return isChangingMembers(this.state);
    }

    /** Whether this member may serve reads and issue orders: it holds the lease and has applied all commits. */
    canServe(): boolean {
        this.checkSuspension();
        return this.appliedIndex >= this.state.commitIndex && canServeRead(this.state, performance.now(), this.timing);
    }

    /** Handles a message from another member. */
    receive(from: string, message: ConsensusMessage<Payload>): void {
        this.handle({ kind: "receive", now: performance.now(), random: this.random(), from, message });
    }

    /**
     * Proposes a command; resolves with its result once committed and applied. Rejects with {@link ConsensusError} if it
     * was not committed, and with {@link UnknownOutcomeError} if that cannot be known.
     */
    propose(command: Payload): Promise<Result> {
        return new Promise((resolve, reject) => {
            this.proposals.push({ command, resolve, reject });
            if (!this.isProposalScheduled) {
                this.isProposalScheduled = true;
                setImmediate(() => this.flushProposals());
            }
        });
    }

    /** Proposes new members of the control group; exactly one may differ. Rejects with {@link ConsensusError}. */
    proposeMembers(members: string[]): Promise<void> {
        return new Promise((resolve, reject) => {
            this.submit({ kind: "members", members }, { term: 0, resolve: () => resolve(), reject });
        });
    }

    /** While this member leads, it sends the log to these processes beside its members; another leader starts with none. */
    setLearners(learners: readonly string[]): void {
        this.handle({ kind: "learners", now: performance.now(), learners });
    }

    /** Stops the timer, rejects proposals that are not applied yet, and closes the log store. */
    async close(): Promise<void> {
        this.isClosed = true;
        clearInterval(this.timer);
        this.waiters.refuseAll(new ConsensusError("this member is stopping", undefined));
        await this.options.store.close();
    }

    private flushProposals(): void {
        this.isProposalScheduled = false;
        const batch = this.proposals;
        this.proposals = [];
        this.submitBatch(batch);
    }

    /** Submits proposals as one entry, or as several if they are larger than one append message may be. */
    private submitBatch(batch: PendingProposal<Payload, Result>[]): void {
        if (batch.length === 0) {
            return;
        }
        const payload: LogPayload<Payload> = { kind: "commands", commands: batch.map(item => item.command) };
        const bytes = batch.length === 1 ? 0 : this.timing.measurePayload?.(payload) ?? 0;
        if (bytes > this.timing.maxBytesPerAppend) {
            const half = Math.ceil(batch.length / 2);
            this.submitBatch(batch.slice(0, half));
            this.submitBatch(batch.slice(half));
            return;
        }
        this.submit(payload, {
            term: 0,
            resolve: results => batch.forEach((item, at) => item.resolve(results[at])),
            reject: error => batch.forEach(item => item.reject(error)),
        });
    }

    private submit(payload: LogPayload<Payload>, waiter: Waiter<Result>): void {
        if (this.isClosed) {
            waiter.reject(new ConsensusError("this member is stopping", undefined));
            return;
        }
        const effects = this.handle({ kind: "propose", now: performance.now(), payload });
        const proposed = effects.find(effect => effect.kind === "proposed");
        if (proposed === undefined) {
            waiter.reject(new ConsensusError("this member is not the leader", this.state.leaderId));
            return;
        }
        this.waiters.add(proposed.index, { ...waiter, term: proposed.term });
        // `handle` applies nothing for a proposal, so that its waiter is registered before its entry can be applied.
        this.applyCommitted();
    }

    private handle(event: ConsensusEvent<Payload>): ConsensusEffect<Payload>[] {
        if (this.isClosed) {
            return [];
        }
        this.checkSuspension();
        return this.advance(event);
    }

    /** A suspended leader may have been replaced while its own clock stood still, so its lease ends. */
    private checkSuspension(): void {
        if (!this.isClosed && this.suspensionDetector.hasBeenSuspended()) {
            this.options.logger.info("clock-advanced", { state: this.state.role, term: this.state.hardState.term });
            this.advance({ kind: "suspended", now: performance.now() });
        }
    }

    private advance(event: ConsensusEvent<Payload>): ConsensusEffect<Payload>[] {
        const result = stepConsensus(this.state, event, this.timing);
        this.state = result.state;
        this.execute(result.effects);
        if (event.kind !== "propose") {
            this.applyCommitted();
        }
        return result.effects;
    }

    /** Carries out effects that need no write and queues the others. Appends do not wait for the leader's own disk. */
    private execute(effects: ConsensusEffect<Payload>[]): void {
        let mustWait = false;
        for (const effect of effects) {
            if (effect.kind === "roleChanged") {
                this.options.logger.info("consensus-role", { state: effect.role, term: effect.term });
                this.options.onRole?.(effect.role, effect.term);
            }
            if (effect.kind === "persist" || effect.kind === "installSnapshot") {
                mustWait = true;
                this.waitingBytes += this.measurePayloads(effect);
            }
            if (mustWait || this.mustWaitForWrite(effect)) {
                this.outbox.push(effect);
            }
            else {
                this.deliver(effect);
            }
        }
        if (this.waitingBytes > MAX_WAITING_BYTES) {
            this.fail(new Error(`${this.waitingBytes} bytes wait for the disk. Make room on it, or replace it`));
            return;
        }
        this.scheduleWrite();
    }

    private measurePayloads(effect: OutboxItem<Payload>): number {
        const entries = effect.kind === "persist" ? effect.entries : [];
        return entries.reduce((sum, entry) => sum + (this.timing.measurePayload?.(entry.payload) ?? 0), 0);
    }

    /** Answers and vote requests rely on queued writes, so they wait for them; appends and pre-votes do not. */
    private mustWaitForWrite(effect: ConsensusEffect<Payload>): boolean {
        if (this.outbox.length === 0 && !this.isWriting) {
            return false;
        }
        return effect.kind === "send" && effect.message.kind !== "append" && effect.message.kind !== "preVote";
    }

    private deliver(effect: ConsensusEffect<Payload>): void {
        if (effect.kind === "send") {
            this.options.transport.send(effect.to, effect.message);
        }
        else if (effect.kind === "sendSnapshot" && this.lastSnapshot !== undefined) {
            this.options.transport.send(effect.to, {
                kind: "snapshot",
                term: effect.term,
                snapshot: this.lastSnapshot,
                sentAt: effect.sentAt,
            });
        }
    }

    /** Writes the queued records with one sync per batch, then carries out the effects that waited for it. */
    private async writeOutbox(): Promise<void> {
        try {
            while (this.outbox.length > 0 && !this.isClosed) {
                const batch = this.outbox;
                this.outbox = [];
                await this.writeBatch(batch);
                this.waitingBytes -= batch.reduce((sum, item) => sum + this.measurePayloads(item), 0);
            }
        }
        catch (error) {
            this.fail(error);
        }
        this.isWriting = false;
    }

    private async writeBatch(batch: OutboxItem<Payload>[]): Promise<void> {
        let hardState: HardState | undefined;
        let entries: LogEntry<Payload>[] = [];
        for (const effect of batch) {
            if (effect.kind === "persist") {
                hardState = effect.hardState ?? hardState;
                const first = effect.entries[0]?.index;
                entries = first === undefined
                    ? entries
                    : [...entries.filter(entry => entry.index < first), ...effect.entries];
            }
        }
        await this.options.store.append(hardState, entries);
        for (const effect of batch) {
            if (effect.kind === "installSnapshot") {
                await this.options.store.writeSnapshot(effect.snapshot);
                await this.startSegment(effect.snapshot);
            }
            else if (effect.kind === "startSegment") {
                await this.startSegment(effect.snapshot);
            }
            else {
                this.deliver(effect);
            }
        }
        const last = entries.at(-1);
        if (last !== undefined) {
            this.handle({ kind: "persisted", now: performance.now(), index: last.index, term: last.term });
        }
    }

    private async startSegment(snapshot: Snapshot): Promise<void> {
        if ((this.lastSnapshot?.index ?? 0) <= snapshot.index) {
            this.lastSnapshot = snapshot;
        }
        const remaining = getEntries(this.state, snapshot.index + 1, getLastIndex(this.state));
        await this.options.store.startSegment(snapshot.index, this.state.hardState, remaining);
    }

    private applyCommitted(): void {
        const { stateMachine } = this.options;
        if (this.appliedIndex < this.state.snapshotIndex) {
            this.loadInstalledSnapshot();
        }
        if (this.appliedIndex >= this.state.commitIndex) {
            return;
        }
        for (const entry of getEntries(this.state, this.appliedIndex + 1, this.state.commitIndex)) {
            const commands = entry.payload.kind === "commands" ? entry.payload.commands : [];
            const results = commands.map(command => stateMachine.apply(command, entry.index, entry.term));
            this.appliedIndex = entry.index;
            this.waiters.resolve(entry, results, this.state.leaderId);
        }
        this.options.onApplied?.();
        this.takeSnapshotIfDue();
    }

    private loadInstalledSnapshot(): void {
        const queued = this.outbox.flatMap(effect => effect.kind === "installSnapshot" ? [effect.snapshot] : []);
        const snapshot = queued.at(-1) ?? this.lastSnapshot;
        if (snapshot !== undefined && snapshot.index > this.appliedIndex) {
            this.options.stateMachine.loadSnapshot(snapshot.data);
            this.appliedIndex = snapshot.index;
            this.waiters.refuseCovered(snapshot.index);
            this.options.onApplied?.();
        }
    }

    private takeSnapshotIfDue(): void {
        const every = this.options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY;
        const covered = this.lastSnapshot?.index ?? 0;
        if (this.isSnapshotting || this.appliedIndex - covered < every) {
            return;
        }
        this.isSnapshotting = true;
        void this.takeSnapshot().catch(error => this.fail(error));
    }

    /** Writes a snapshot while the log continues, then compacts the log and starts a new segment. */
    private async takeSnapshot(): Promise<void> {
        const index = this.appliedIndex;
        const term = getTermAt(this.state, index) ?? 0;
        const members = [...getMembersAt(this.state, index)];
        const data = await this.options.stateMachine.saveSnapshot();
        const snapshot: Snapshot = { index, term, members, data };
        await this.options.store.writeSnapshot(snapshot);
        this.isSnapshotting = false;
        if (this.isClosed || (this.lastSnapshot?.index ?? 0) >= index) {
            return;
        }
        this.lastSnapshot = snapshot;
        this.outbox.push({ kind: "startSegment", snapshot });
        this.handle({
            kind: "compacted",
            index: Math.max(
                this.state.snapshotIndex,
                index - Math.min(MAX_KEPT_ENTRIES, this.options.snapshotEvery ?? DEFAULT_SNAPSHOT_EVERY),
            ),
        });
        this.scheduleWrite();
    }

    private fail(error: unknown): void {
        if (this.isClosed) {
            return;
        }
        this.options.logger.error("storage-failed", { message: String(error) });
        this.isClosed = true;
        clearInterval(this.timer);
        this.options.onFatal(error);
    }

    private scheduleWrite(): void {
        if (this.outbox.length > 0 && !this.isWriting) {
            this.isWriting = true;
            setImmediate(() => void this.writeOutbox());
        }
    }
}
