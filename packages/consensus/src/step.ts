import type { HardState, LogEntry, LogPayload } from "@kumquathall/types";
import { computeMajorityContact, hasCommittedInTerm } from "./lease.js";
import {
    countMajority,
    getEntries,
    getLastIndex,
    getLastTerm,
    getMembers,
    getMembersAt,
    getTermAt,
    isChangingMembers,
} from "./log.js";
import {
    type ConsensusEffect,
    type ConsensusEvent,
    type ConsensusMessage,
    type ConsensusOptions,
    type ConsensusState,
    type PeerProgress,
    Role,
} from "./state.js";

/** The new state, and the effects to carry out, in order. */
export interface StepResult<Payload> {
    state: ConsensusState<Payload>;
    effects: ConsensusEffect<Payload>[];
}

export interface CreateStateOptions<Payload> {
    id: string;
    members: readonly string[];
    now: number;
    random: number;
    hardState?: HardState;
    snapshotIndex?: number;
    snapshotTerm?: number;
    entries?: readonly LogEntry<Payload>[];
    timing: ConsensusOptions;
}

/** Creates the state at start. After a restart it grants no vote until any lease that it supported has expired. */
export function createConsensusState<Payload>(options: CreateStateOptions<Payload>): ConsensusState<Payload> {
    const snapshotIndex = options.snapshotIndex ?? 0;
    const entries = options.entries ?? [];
    const isRestart = options.hardState !== undefined && options.hardState.term > 0;
    const isGuarded = options.timing.disabledGuard !== "noVoteAfterRestart";
    return {
        id: options.id,
        hardState: options.hardState ?? { term: 0, votedFor: undefined },
        role: Role.Follower,
        leaderId: undefined,
        snapshotIndex,
        snapshotTerm: options.snapshotTerm ?? 0,
        snapshotMembers: options.members,
        entries,
        commitIndex: snapshotIndex,
        learners: [],
        durableIndex: snapshotIndex + entries.length,
        electionDeadline: options.now + options.timing.electionTimeoutMs * (1 + options.random),
        noVoteUntil: isRestart && isGuarded ? options.now + options.timing.electionTimeoutMs : options.now,
        votes: [],
        peers: {},
        heartbeatDue: 0,
        leaderSince: 0,
        leaseSince: Number.NEGATIVE_INFINITY,
    };
}

/** Index of the newest log entry, committed or not, whose payload satisfies a condition; 0 if there is none. */
export function findNewestIndex<Payload>(
    state: ConsensusState<Payload>,
    isMatch: (payload: LogPayload<Payload>) => boolean,
): number {
    for (let at = state.entries.length - 1; at >= 0; at--) {
        if (isMatch(state.entries[at].payload)) {
            return state.entries[at].index;
        }
    }
    return 0;
}

/** Advances a member by one event. Pure: the same state and event always give the same result. */
export function stepConsensus<Payload>(
    state: ConsensusState<Payload>,
    event: ConsensusEvent<Payload>,
    options: ConsensusOptions,
): StepResult<Payload> {
    const step = new Step(state, options);
    switch (event.kind) {
        case "tick":
            step.handleTick(event.now, event.random);
            break;
        case "receive":
            step.handleMessage(event.now, event.random, event.from, event.message);
            break;
        case "propose":
            step.handleProposal(event.now, event.payload);
            break;
        case "learners":
            step.setLearners(event.now, event.learners);
            break;
        case "persisted":
            step.handlePersisted(event.index, event.term);
            break;
        case "suspended":
            step.handleSuspension(event.now);
            break;
        case "compacted":
            step.compact(event.index);
            break;
    }
    return { state: step.state, effects: step.effects };
}

type AppendMessage<Payload> = Extract<ConsensusMessage<Payload>, { kind: "append" }>;
type AppendAnswer<Payload> = Extract<ConsensusMessage<Payload>, { kind: "appendAnswer" }>;

/** One transition in progress: the updated state and the effects collected so far. */
class Step<Payload> {
    state: ConsensusState<Payload>;
    readonly effects: ConsensusEffect<Payload>[] = [];

    constructor(state: ConsensusState<Payload>, private readonly options: ConsensusOptions) {
        this.state = state;
    }

    handleTick(now: number, random: number): void {
        if (this.state.role === Role.Leader) {
            this.checkQuorum(now, random);
            if (this.state.role === Role.Leader && now >= this.state.heartbeatDue) {
                this.sendAppends(now);
            }
            return;
        }
        if (now < this.state.electionDeadline) {
            return;
        }
        if (getMembers(this.state).includes(this.state.id)) {
            this.startPreVote(now, random);
        }
        else if (this.state.leaderId !== undefined) {
            // A learner, or a member that was removed: the leader sends to it no longer, and may be another by now.
            this.update({ leaderId: undefined });
        }
    }

    handleMessage(now: number, random: number, from: string, message: ConsensusMessage<Payload>): void {
        if (message.kind === "preVote") {
            this.answerPreVote(now, from, message.term, message.lastIndex, message.lastTerm);
            return;
        }
        if (message.kind === "vote" && this.mustWithholdVote(now)) {
            this.send(from, { kind: "voteAnswer", term: this.state.hardState.term, isGranted: false });
            return;
        }
        const isPreVoteGrant = message.kind === "preVoteAnswer" && message.isGranted;
        if (message.term > this.state.hardState.term && !isPreVoteGrant) {
            this.becomeFollower(now, random, message.term, undefined);
        }
        switch (message.kind) {
            case "preVoteAnswer":
                this.countPreVote(now, from, message.term, message.isGranted);
                break;
            case "vote":
                this.answerVote(now, random, from, message.term, message.lastIndex, message.lastTerm);
                break;
            case "voteAnswer":
                this.countVote(now, from, message.term, message.isGranted);
                break;
            case "append":
                this.handleAppend(now, random, from, message);
                break;
            case "appendAnswer":
                this.handleAppendAnswer(now, from, message);
                break;
            case "snapshot":
                this.handleSnapshot(now, random, from, message);
                break;
        }
    }

    handleProposal(now: number, payload: LogPayload<Payload>): void {
        if (
            this.state.role !== Role.Leader || (payload.kind === "members" && !this.canChangeMembers(payload.members))
        ) {
            this.effects.push({ kind: "notLeader", leaderId: this.state.leaderId });
            return;
        }
        const entry = this.appendOwn(payload);
        this.effects.push({ kind: "proposed", index: entry.index, term: entry.term });
        this.sendAppends(now);
        this.effects.push({ kind: "persist", hardState: undefined, entries: [entry] });
    }

    /** Progress that a process made before it became a learner is forgotten: only new answers prove what it holds. */
    setLearners(now: number, learners: readonly string[]): void {
        if (this.state.role !== Role.Leader) {
            return;
        }
        const members = getMembers(this.state);
        const next = learners.filter(learner => !members.includes(learner));
        const added = next.filter(learner => !this.state.learners.includes(learner));
        if (added.length === 0 && next.length === this.state.learners.length) {
            return;
        }
        const kept = [...members, ...next].filter(receiver => !added.includes(receiver));
        const peers = Object.fromEntries(Object.entries(this.state.peers).filter(([peer]) => kept.includes(peer)));
        this.update({ learners: next, peers });
        added.forEach(learner => this.sendAppend(now, learner));
    }

    handlePersisted(index: number, term: number): void {
        // The written entry may have been replaced since; the write does not make its replacement durable.
        if (getTermAt(this.state, index) !== term) {
            return;
        }
        this.update({ durableIndex: Math.max(this.state.durableIndex, Math.min(index, getLastIndex(this.state))) });
        if (this.state.role === Role.Leader) {
            this.advanceCommit();
        }
    }

    /** A leader asks the others at once whether they still follow; until a majority has answered it has no lease. */
    handleSuspension(now: number): void {
        this.update({ leaseSince: now });
        if (this.state.role === Role.Leader) {
            this.sendAppends(now);
        }
    }

    compact(index: number): void {
        const term = getTermAt(this.state, index);
        if (index <= this.state.snapshotIndex || term === undefined || index > this.state.commitIndex) {
            return;
        }
        const kept = getEntries(this.state, index + 1, getLastIndex(this.state));
        const snapshotMembers = getMembersAt(this.state, index);
        this.update({ snapshotMembers, snapshotIndex: index, snapshotTerm: term, entries: kept });
    }

    private isGuardEnabled(guard: string): boolean {
        return this.options.disabledGuard !== guard;
    }

    private update(change: Partial<ConsensusState<Payload>>): void {
        this.state = { ...this.state, ...change };
    }

    private send(to: string, message: ConsensusMessage<Payload>): void {
        this.effects.push({ kind: "send", to, message });
    }

    private getOthers(): string[] {
        return getMembers(this.state).filter(member => member !== this.state.id);
    }

    /** The processes to which a leader sends the log: the other members and the learners. */
    private listReceivers(): string[] {
        const others = this.getOthers();
        const learners = this.state.learners.filter(learner => learner !== this.state.id && !others.includes(learner));
        return [...others, ...learners];
    }

    private setHardState(term: number, votedFor: string | undefined): void {
        this.update({ hardState: { term, votedFor } });
        this.effects.push({ kind: "persist", hardState: this.state.hardState, entries: [] });
    }

    private setRole(role: ConsensusState<Payload>["role"]): void {
        if (this.state.role !== role) {
            this.update({ role });
            this.effects.push({ kind: "roleChanged", role, term: this.state.hardState.term });
        }
    }

    private resetElectionDeadline(now: number, random: number): void {
        this.update({ electionDeadline: now + this.options.electionTimeoutMs * (1 + random) });
    }

    private becomeFollower(now: number, random: number, term: number, leaderId: string | undefined): void {
        if (term > this.state.hardState.term) {
            this.setHardState(term, undefined);
        }
        this.setRole(Role.Follower);
        this.update({ leaderId, votes: [], peers: {}, learners: [] });
        this.resetElectionDeadline(now, random);
    }

    /** Steps down when no majority has answered for an election timeout. */
    private checkQuorum(now: number, random: number): void {
        const contact = Math.max(computeMajorityContact(this.state, now), this.state.leaderSince);
        if (now - contact > this.options.electionTimeoutMs) {
            this.becomeFollower(now, random, this.state.hardState.term, undefined);
        }
    }

    private startPreVote(now: number, random: number): void {
        this.setRole(Role.PreCandidate);
        this.update({ leaderId: undefined, votes: [this.state.id] });
        this.resetElectionDeadline(now, random);
        this.sendVoteRequests("preVote", this.state.hardState.term + 1);
        if (this.countNeededVotes() === 1) {
            this.startVote(now);
        }
    }

    private startVote(now: number): void {
        this.setHardState(this.state.hardState.term + 1, this.state.id);
        this.setRole(Role.Candidate);
        this.update({ votes: [this.state.id] });
        this.sendVoteRequests("vote", this.state.hardState.term);
        if (this.countNeededVotes() === 1) {
            this.becomeLeader(now);
        }
    }

    private countNeededVotes(): number {
        return this.isGuardEnabled("majorityOfVotes") ? countMajority(getMembers(this.state)) : 1;
    }

    private sendVoteRequests(kind: "preVote" | "vote", term: number): void {
        for (const member of this.getOthers()) {
            this.send(member, { kind, term, lastIndex: getLastIndex(this.state), lastTerm: getLastTerm(this.state) });
        }
    }

    /** Whether a leader may hold a lease that depends on this member not voting. */
    private mustWithholdVote(now: number): boolean {
        return now < this.state.noVoteUntil && this.isGuardEnabled("voteDuringLease");
    }

    private isLogCurrent(lastIndex: number, lastTerm: number): boolean {
        if (!this.isGuardEnabled("voteForCurrentLog")) {
            return true;
        }
        const ownTerm = getLastTerm(this.state);
        return lastTerm > ownTerm || (lastTerm === ownTerm && lastIndex >= getLastIndex(this.state));
    }

    private answerPreVote(now: number, from: string, term: number, lastIndex: number, lastTerm: number): void {
        const isLeading = this.state.role === Role.Leader;
        const isGranted = term > this.state.hardState.term && !isLeading && !this.mustWithholdVote(now)
            && this.isLogCurrent(lastIndex, lastTerm);
        this.send(from, { kind: "preVoteAnswer", term: isGranted ? term : this.state.hardState.term, isGranted });
    }

    private countPreVote(now: number, from: string, term: number, isGranted: boolean): void {
        if (this.state.role !== Role.PreCandidate || !isGranted || term !== this.state.hardState.term + 1) {
            return;
        }
        if (this.addVote(from)) {
            this.startVote(now);
        }
    }

    private answerVote(
        now: number,
        random: number,
        from: string,
        term: number,
        lastIndex: number,
        lastTerm: number,
    ): void {
        const { hardState } = this.state;
        const isFree = hardState.votedFor === undefined || hardState.votedFor === from
            || !this.isGuardEnabled("oneVotePerTerm");
        const isGranted = term === hardState.term && this.state.role === Role.Follower && isFree
            && this.isLogCurrent(lastIndex, lastTerm);
        if (isGranted) {
            if (hardState.votedFor !== from) {
                this.setHardState(term, from);
            }
            this.resetElectionDeadline(now, random);
        }
        this.send(from, { kind: "voteAnswer", term: this.state.hardState.term, isGranted });
    }

    private countVote(now: number, from: string, term: number, isGranted: boolean): void {
        if (this.state.role !== Role.Candidate || !isGranted || term !== this.state.hardState.term) {
            return;
        }
        if (this.addVote(from)) {
            this.becomeLeader(now);
        }
    }

    /** Adds a vote; returns whether a majority of the members has now voted for this one. */
    private addVote(from: string): boolean {
        const members = getMembers(this.state);
        if (!members.includes(from) || this.state.votes.includes(from)) {
            return false;
        }
        this.update({ votes: [...this.state.votes, from] });
        return this.state.votes.filter(voter => members.includes(voter)).length >= this.countNeededVotes();
    }

    private becomeLeader(now: number): void {
        this.setRole(Role.Leader);
        // Assumes that the others hold the same log, without the entry added below; rejected appends correct it.
        const progress = { ...this.getProgress(this.state.id), nextIndex: getLastIndex(this.state) + 1 };
        const peers = Object.fromEntries(this.getOthers().map(member => [member, progress]));
        this.update({ leaderId: this.state.id, peers, leaderSince: now });
        const entry = this.appendOwn({ kind: "empty" });
        this.sendAppends(now);
        this.effects.push({ kind: "persist", hardState: undefined, entries: [entry] });
    }

    private appendOwn(payload: LogPayload<Payload>): LogEntry<Payload> {
        const entry = { index: getLastIndex(this.state) + 1, term: this.state.hardState.term, payload };
        this.update({ entries: [...this.state.entries, entry] });
        return entry;
    }

    private getProgress(member: string): PeerProgress {
        return this.state.peers[member]
            ?? {
                nextIndex: getLastIndex(this.state) + 1,
                matchIndex: 0,
                answeredSentAt: Number.NEGATIVE_INFINITY,
                snapshotSentAt: undefined,
            };
    }

    private setProgress(member: string, progress: PeerProgress): void {
        this.update({ peers: { ...this.state.peers, [member]: progress } });
    }

    private sendAppends(now: number): void {
        for (const receiver of this.listReceivers()) {
            this.sendAppend(now, receiver);
        }
        this.update({ heartbeatDue: now + this.options.heartbeatMs });
    }

    private sendAppend(now: number, member: string): void {
        const progress = this.getProgress(member);
        const previousIndex = progress.nextIndex - 1;
        const previousTerm = getTermAt(this.state, previousIndex);
        if (previousTerm === undefined) {
            this.sendSnapshot(now, member, progress);
            return;
        }
        const entries = this.listAppendEntries(progress.nextIndex);
        this.send(member, {
            kind: "append",
            term: this.state.hardState.term,
            previousIndex,
            previousTerm,
            entries,
            commitIndex: this.state.commitIndex,
            sentAt: now,
        });
        // Pipelining: the next append continues after these entries without waiting for the answer.
        this.setProgress(member, { ...progress, nextIndex: progress.nextIndex + entries.length });
    }

    /** Entries from an index on, as many as the limits of one append message allow; at least one if there is any. */
    private listAppendEntries(from: number): LogEntry<Payload>[] {
        const { maxEntriesPerAppend, maxBytesPerAppend, measurePayload } = this.options;
        const entries = getEntries(this.state, from, from + maxEntriesPerAppend - 1);
        if (measurePayload === undefined || entries.length <= 1) {
            return entries;
        }
        let bytes = 0;
        const firstLeftOut = entries.findIndex((entry, at) => {
            bytes += measurePayload(entry.payload);
            return at > 0 && bytes > maxBytesPerAppend;
        });
        return firstLeftOut === -1 ? entries : entries.slice(0, firstLeftOut);
    }

    private sendSnapshot(now: number, member: string, progress: PeerProgress): void {
        const resendMs = this.options.electionTimeoutMs * 4;
        if (progress.snapshotSentAt === undefined || now - progress.snapshotSentAt > resendMs) {
            this.effects.push({ kind: "sendSnapshot", to: member, term: this.state.hardState.term, sentAt: now });
            this.setProgress(member, { ...progress, snapshotSentAt: now });
        }
        // An empty append keeps the member from starting an election while the snapshot is in transit.
        this.send(member, {
            kind: "append",
            term: this.state.hardState.term,
            previousIndex: this.state.snapshotIndex,
            previousTerm: this.state.snapshotTerm,
            entries: [],
            commitIndex: 0,
            sentAt: now,
        });
    }

    private handleAppend(now: number, random: number, from: string, message: AppendMessage<Payload>): void {
        if (message.term < this.state.hardState.term) {
            this.send(from, {
                kind: "appendAnswer",
                term: this.state.hardState.term,
                isAccepted: false,
                matchIndex: 0,
                sentAt: message.sentAt,
            });
            return;
        }
        this.followLeader(now, random, from);
        const answer = { kind: "appendAnswer" as const, term: this.state.hardState.term, sentAt: message.sentAt };
        const remaining = this.dropCompacted(message);
        if (
            getTermAt(this.state, remaining.previousIndex) !== remaining.previousTerm
            && this.isGuardEnabled("appendAfterMatch")
        ) {
            const matchIndex = Math.min(remaining.previousIndex - 1, getLastIndex(this.state));
            this.send(from, { ...answer, isAccepted: false, matchIndex });
            return;
        }
        this.storeEntries(remaining.entries);
        const matchIndex = remaining.previousIndex + remaining.entries.length;
        const commitIndex = Math.min(message.commitIndex, matchIndex);
        if (commitIndex > this.state.commitIndex) {
            this.update({ commitIndex });
        }
        this.send(from, { ...answer, isAccepted: true, matchIndex });
    }

    private followLeader(now: number, random: number, leaderId: string): void {
        this.setRole(Role.Follower);
        this.update({ leaderId, votes: [], noVoteUntil: now + this.options.electionTimeoutMs });
        this.resetElectionDeadline(now, random);
    }

    /** Drops entries that this member's snapshot covers; they are committed, hence identical. */
    private dropCompacted(
        message: AppendMessage<Payload>,
    ): { previousIndex: number; previousTerm: number; entries: LogEntry<Payload>[] } {
        const { snapshotIndex, snapshotTerm } = this.state;
        if (message.previousIndex >= snapshotIndex) {
            return message;
        }
        const entries = message.entries.filter(entry => entry.index > snapshotIndex);
        return { previousIndex: snapshotIndex, previousTerm: snapshotTerm, entries };
    }

    private storeEntries(entries: LogEntry<Payload>[]): void {
        const missing = entries.filter(entry => getTermAt(this.state, entry.index) !== entry.term);
        if (missing.length === 0) {
            return;
        }
        const firstNew = missing[0].index;
        const kept = getEntries(this.state, this.state.snapshotIndex + 1, firstNew - 1);
        const added = entries.filter(entry => entry.index >= firstNew);
        this.update({ entries: [...kept, ...added], durableIndex: Math.min(this.state.durableIndex, firstNew - 1) });
        this.effects.push({ kind: "persist", hardState: undefined, entries: added });
    }

    private handleAppendAnswer(now: number, from: string, message: AppendAnswer<Payload>): void {
        const isExpected = this.state.role === Role.Leader && message.term === this.state.hardState.term;
        if (!isExpected || !this.listReceivers().includes(from)) {
            return;
        }
        const progress = this.getProgress(from);
        const answeredSentAt = Math.max(progress.answeredSentAt, message.sentAt);
        if (!message.isAccepted) {
            const nextIndex = Math.max(
                progress.matchIndex + 1,
                Math.min(progress.nextIndex - 1, message.matchIndex + 1),
            );
            this.setProgress(from, { ...progress, answeredSentAt, nextIndex });
            if (progress.snapshotSentAt === undefined) {
                this.sendAppend(now, from);
            }
            return;
        }
        const matchIndex = Math.max(progress.matchIndex, message.matchIndex);
        const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
        this.setProgress(from, { nextIndex, matchIndex, answeredSentAt, snapshotSentAt: undefined });
        this.advanceCommit();
        if (nextIndex <= getLastIndex(this.state)) {
            this.sendAppend(now, from);
        }
    }

    private advanceCommit(): void {
        const members = getMembers(this.state);
        const matches = members.map(member =>
            member === this.state.id ? this.state.durableIndex : this.state.peers[member]?.matchIndex ?? 0
        );
        matches.sort((left, right) => right - left);
        const needed = this.isGuardEnabled("majorityOfCopies") ? countMajority(members) : 1;
        const candidate = matches[needed - 1];
        const isOwnTerm = getTermAt(this.state, candidate) === this.state.hardState.term
            || !this.isGuardEnabled("commitOwnTerm");
        if (candidate > this.state.commitIndex && isOwnTerm) {
            this.update({ commitIndex: candidate });
        }
    }

    private handleSnapshot(
        now: number,
        random: number,
        from: string,
        message: Extract<ConsensusMessage<Payload>, { kind: "snapshot" }>,
    ): void {
        if (message.term < this.state.hardState.term) {
            return;
        }
        this.followLeader(now, random, from);
        const { index, term, members } = message.snapshot;
        if (index > this.state.commitIndex) {
            const isPrefix = getTermAt(this.state, index) === term;
            const kept = isPrefix ? getEntries(this.state, index + 1, getLastIndex(this.state)) : [];
            this.update({
                snapshotIndex: index,
                snapshotTerm: term,
                snapshotMembers: members,
                entries: kept,
                commitIndex: index,
                durableIndex: Math.max(index, Math.min(this.state.durableIndex, index + kept.length)),
            });
            this.effects.push({ kind: "installSnapshot", snapshot: message.snapshot });
        }
        const answer = {
            kind: "appendAnswer" as const,
            term: this.state.hardState.term,
            isAccepted: true,
            sentAt: message.sentAt,
        };
        this.send(from, { ...answer, matchIndex: index });
    }

    /** Only one member may change at a time, and only once the leader has committed in its own term. */
    private canChangeMembers(next: string[]): boolean {
        const current = getMembers(this.state);
        const changed = [
            ...current.filter(member => !next.includes(member)),
            ...next.filter(member => !current.includes(member)),
        ];
        const isSettled = !this.isGuardEnabled("oneMemberChange")
            || !isChangingMembers(this.state);
        return changed.length === 1 && isSettled && hasCommittedInTerm(this.state);
    }
}
