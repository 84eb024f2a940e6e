import {
    canServeRead,
    type ConsensusEffect,
    type ConsensusMessage,
    type ConsensusOptions,
    type ConsensusState,
    createConsensusState,
    getTermAt,
    Role,
    stepConsensus,
} from "@kumquathall/consensus";
import type { HardState, LogEntry } from "@kumquathall/types";
import { type Invariant, Specification, type Transition } from "../explore.js";

/** One unit of model time in milliseconds; all durations of the model are whole units. */
const UNIT_MS = 150;
const TIMING: ConsensusOptions = {
    electionTimeoutMs: 600,
    heartbeatMs: 300,
    leaseMs: 450,
    maxEntriesPerAppend: 1,
    maxBytesPerAppend: 1,
};
/** Times further from now than this behave alike, so that they are encoded as equal. */
const HORIZON_MS = 900;

type State = ConsensusState<string>;
type Message = ConsensusMessage<string>;

interface Member {
    /** `undefined` while the member is down. */
    state: State | undefined;
    durable: { hardState: HardState; entries: readonly LogEntry<string>[] };
    /** Entries of a leader that are not on its disk yet. */
    unsynced: readonly LogEntry<string>[];
    /** The member's own clock, which may lag behind the others. */
    now: number;
}

interface InFlightMessage {
    from: string;
    to: string;
    message: Message;
}

export interface ConsensusModelState {
    members: Readonly<Record<string, Member>>;
    inFlightMessages: readonly InFlightMessage[];
    /** First entry that any member committed at each index, as text. */
    committed: Readonly<Record<number, string>>;
    /** Members that became leader, by term. */
    leaders: Readonly<Record<number, readonly string[]>>;
    /** Two different entries that were committed at the same index. */
    conflict: string | undefined;
    crashesLeft: number;
    duplicatesLeft: number;
    proposalsLeft: number;
    lagLeft: number;
    /** Number of `memberChanges` proposed so far. */
    changesProposed: number;
}

export interface ConsensusModelOptions {
    name: string;
    disabledGuard?: string;
    crashes: number;
    duplicates: number;
    proposals: number;
    lag: number;
    maxTerm: number;
    /** Beyond this number, the oldest messages in flight are lost. */
    maxInFlightMessages: number;
    /** Initial terms, votes and log terms of the members, which must be reachable by the protocol. */
    start: Record<string, { term: number; votedFor?: string; entryTerms: number[] }>;
    /** Initial members of the group; all by default. Others can join, with empty logs. */
    founders?: string[];
    /** Sets of members that a leader may propose, each once and in this order. */
    memberChanges?: string[][];
    /** Units of time that pass in one transition. */
    timeStep: number;
    /** Pairs of members that can exchange messages, such as `ab`; all pairs by default. Other pairs are cut both ways. */
    links?: string[];
    /** Member that leads and has committed an entry in the initial state. */
    initialLeader?: string;
    /** Pairs that can exchange messages until the initial state is reached. */
    initialLinks?: string[];
}

/** Members of the control group with their disks, clocks and network. A message that is never delivered is lost. */
export class ConsensusSpecification extends Specification<ConsensusModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<ConsensusModelState>[] = [
        { name: "one leader in a term", check: state => describeSecondLeader(state) },
        { name: "a committed entry never changes", check: state => state.conflict },
        { name: "at most one member may issue orders", check: state => describeSecondLeaseHolder(state, this.timing) },
        {
            name: "the newest leader has all committed entries of earlier terms",
            check: state => describeIncompleteLeader(state),
        },
    ];
    private readonly timing: ConsensusOptions;
    private links: string[] | undefined;

    constructor(private readonly options: ConsensusModelOptions) {
        super();
        this.name = options.name;
        this.timing = { ...TIMING, disabledGuard: options.disabledGuard };
        this.links = options.initialLinks;
        const links = options.links === undefined ? "all linked" : `only ${options.links.join(" and ")} linked`;
        this.bounds =
            `${
                Object.keys(options.start).length
            } members, ${links}, terms to ${options.maxTerm}, ${options.maxInFlightMessages} messages in flight, `
            + `${options.crashes} crashes, ${options.duplicates} duplicates, ${options.proposals} proposals, ${options.lag} units of clock lag`;
    }

    override create(): ConsensusModelState {
        const { start, crashes, duplicates, proposals, lag } = this.options;
        const members: Record<string, Member> = {};
        for (const [id, item] of Object.entries(start)) {
            const hardState = { term: item.term, votedFor: item.votedFor };
            const entries = item.entryTerms.map((term, at) => ({
                index: at + 1,
                term,
                payload: { kind: "commands" as const, commands: [`t${term}`] },
            }));
            members[id] = { state: undefined, durable: { hardState, entries }, unsynced: [], now: 0 };
        }
        let state: ConsensusModelState = {
            members,
            inFlightMessages: [],
            committed: {},
            leaders: {},
            conflict: undefined,
            crashesLeft: crashes,
            duplicatesLeft: duplicates,
            proposalsLeft: proposals,
            lagLeft: lag,
            changesProposed: 0,
        };
        for (const id of Object.keys(members)) {
            state = this.restart(state, id);
        }
        if (this.options.initialLeader !== undefined) {
            state = this.startInitialLeader(state, this.options.initialLeader);
        }
        this.links = this.options.links;
        return state;
    }

    override listTransitions(state: ConsensusModelState): Transition<ConsensusModelState>[] {
        const transitions: Transition<ConsensusModelState>[] = [];
        for (const [index, inFlight] of state.inFlightMessages.entries()) {
            const name = `${inFlight.from} to ${inFlight.to}: ${inFlight.message.kind}`;
            transitions.push({ name: `deliver ${name}`, apply: () => this.deliver(state, index, false) });
            if (state.duplicatesLeft > 0) {
                transitions.push({
                    name: `deliver and duplicate ${name}`,
                    apply: () => this.deliver(state, index, true),
                });
            }
        }
        for (const [id, member] of Object.entries(state.members)) {
            this.addMemberTransitions(state, id, member, transitions);
        }
        transitions.push({ name: "time passes", apply: () => this.passTime(state) });
        if (state.lagLeft > 0) {
            for (const id of Object.keys(state.members)) {
                transitions.push({
                    name: `time passes, but the clock of ${id} lags`,
                    apply: () => advanceClocks(state, id),
                });
            }
        }
        return transitions;
    }

    override encode(state: ConsensusModelState): string {
        const members = Object.entries(state.members).map((
            [id, member],
        ) => [
            id,
            member.state === undefined ? 0 : encodeMember(member.state, member.now),
            member.durable,
            member.unsynced.length,
        ]);
        const inFlightMessages = state.inFlightMessages.map(inFlight =>
            JSON.stringify([inFlight.from, inFlight.to, encodeMessage(inFlight, state)])
        ).sort();
        const { committed, leaders, conflict, crashesLeft, duplicatesLeft, proposalsLeft, lagLeft, changesProposed } =
            state;
        return JSON.stringify([
            members,
            inFlightMessages,
            committed,
            leaders,
            conflict,
            crashesLeft,
            duplicatesLeft,
            proposalsLeft,
            lagLeft,
            changesProposed,
        ]);
    }

    private addMemberTransitions(
        state: ConsensusModelState,
        id: string,
        member: Member,
        transitions: Transition<ConsensusModelState>[],
    ): void {
        if (member.state === undefined) {
            transitions.push({ name: `restart ${id}`, apply: () => this.restart(state, id) });
            return;
        }
        const isTickDue = member.state.role === Role.Leader || member.now >= member.state.electionDeadline;
        const isWithinMaxTerm = member.state.hardState.term < this.options.maxTerm || member.state.role === Role.Leader;
        if (isTickDue && isWithinMaxTerm) {
            transitions.push({
                name: `tick ${id}`,
                apply: () => this.step(state, id, { kind: "tick", now: member.now, random: 0 }),
            });
        }
        if (member.unsynced.length > 0) {
            transitions.push({ name: `sync ${id}`, apply: () => this.sync(state, id) });
        }
        if (state.proposalsLeft > 0 && member.state.role === Role.Leader) {
            const payload = { kind: "commands" as const, commands: [`${id}${state.proposalsLeft}`] };
            const proposed = { ...state, proposalsLeft: state.proposalsLeft - 1 };
            transitions.push({
                name: `propose at ${id}`,
                apply: () => this.step(proposed, id, { kind: "propose", now: member.now, payload }),
            });
        }
        const change = this.options.memberChanges?.[state.changesProposed];
        if (change !== undefined && member.state.role === Role.Leader) {
            const payload = { kind: "members" as const, members: change };
            const proposed = { ...state, changesProposed: state.changesProposed + 1 };
            transitions.push({
                name: `propose members ${change.join("")} at ${id}`,
                apply: () => this.step(proposed, id, { kind: "propose", now: member.now, payload }),
            });
        }
        if (state.crashesLeft > 0) {
            transitions.push({
                name: `crash ${id}`,
                apply: () => ({
                    ...setMember(state, id, { ...member, state: undefined, unsynced: [] }),
                    crashesLeft: state.crashesLeft - 1,
                }),
            });
        }
    }

    private passTime(state: ConsensusModelState): ConsensusModelState {
        let next = state;
        for (let unit = 0; unit < this.options.timeStep; unit++) {
            next = advanceClocks(next, undefined);
        }
        return next;
    }

    private isLinked(from: string, to: string): boolean {
        return this.links === undefined || this.links.includes(from + to) || this.links.includes(to + from);
    }

    private restart(state: ConsensusModelState, id: string): ConsensusModelState {
        const member = state.members[id];
        const { hardState, entries } = member.durable;
        const restarted = createConsensusState<string>({
            id,
            members: this.getInitialMembers(state, id),
            now: member.now,
            random: 0,
            hardState,
            entries,
            timing: this.timing,
        });
        return setMember(state, id, { ...member, state: restarted, unsynced: [] });
    }

    private getInitialMembers(state: ConsensusModelState, id: string): string[] {
        const founders = this.options.founders ?? Object.keys(state.members);
        return founders.includes(id) ? founders : [];
    }

    private deliver(state: ConsensusModelState, index: number, isDuplicated: boolean): ConsensusModelState {
        const inFlight = state.inFlightMessages[index];
        const inFlightMessages = isDuplicated
            ? state.inFlightMessages
            : state.inFlightMessages.filter((_, other) => other !== index);
        const next = { ...state, inFlightMessages, duplicatesLeft: state.duplicatesLeft - (isDuplicated ? 1 : 0) };
        const member = state.members[inFlight.to];
        if (member.state === undefined) {
            return next;
        }
        return this.step(next, inFlight.to, {
            kind: "receive",
            now: member.now,
            random: 0,
            from: inFlight.from,
            message: inFlight.message,
        });
    }

    private step(
        state: ConsensusModelState,
        id: string,
        event: Parameters<typeof stepConsensus<string>>[1],
    ): ConsensusModelState {
        const member = state.members[id];
        if (member.state === undefined) {
            return state;
        }
        const result = stepConsensus(member.state, event, this.timing);
        let next = setMember(state, id, { ...member, state: result.state });
        for (const effect of result.effects) {
            next = this.execute(next, id, effect);
        }
        return recordCommits(next, id);
    }

    /**
     * Executes an effect. A leader's own entries wait for a sync transition. All other writes are synced at once,
     * because the member sends nothing before the sync.
     */
    private execute(state: ConsensusModelState, id: string, effect: ConsensusEffect<string>): ConsensusModelState {
        const member = state.members[id];
        if (effect.kind === "persist") {
            const isLeader = member.state?.role === Role.Leader;
            const hardState = effect.hardState ?? member.durable.hardState;
            if (isLeader) {
                return setMember(state, id, {
                    ...member,
                    durable: { ...member.durable, hardState },
                    unsynced: [...member.unsynced, ...effect.entries],
                });
            }
            const isSyncSkipped = this.options.disabledGuard === "syncBeforeAnswer";
            const durable = isSyncSkipped
                ? member.durable
                : { hardState, entries: mergeEntries(member.durable.entries, effect.entries) };
            return setMember(state, id, { ...member, durable, unsynced: [] });
        }
        if (effect.kind === "send" && !this.isLinked(id, effect.to)) {
            return state;
        }
        if (effect.kind === "send") {
            const inFlightMessages = [...state.inFlightMessages, { from: id, to: effect.to, message: effect.message }];
            return { ...state, inFlightMessages: inFlightMessages.slice(-this.options.maxInFlightMessages) };
        }
        if (effect.kind === "roleChanged" && effect.role === Role.Leader) {
            const leaders = state.leaders[effect.term] ?? [];
            return {
                ...state,
                leaders: { ...state.leaders, [effect.term]: leaders.includes(id) ? leaders : [...leaders, id] },
            };
        }
        return state;
    }

    private sync(state: ConsensusModelState, id: string): ConsensusModelState {
        const member = state.members[id];
        const last = member.unsynced[member.unsynced.length - 1];
        const durable = { ...member.durable, entries: mergeEntries(member.durable.entries, member.unsynced) };
        const synced = setMember(state, id, { ...member, durable, unsynced: [] });
        return this.step(synced, id, { kind: "persisted", now: member.now, index: last.index, term: last.term });
    }

    /** Elects a member and runs without faults until all linked members have committed its first entry. */
    private startInitialLeader(state: ConsensusModelState, leader: string): ConsensusModelState {
        let next = state;
        for (let unit = 0; unit < 5; unit++) {
            next = advanceClocks(next, undefined);
        }
        next = this.step(next, leader, { kind: "tick", now: next.members[leader].now, random: 0 });
        for (
            let round = 0;
            round < 40 && (next.inFlightMessages.length > 0 || next.members[leader].unsynced.length > 0);
            round++
        ) {
            next = next.inFlightMessages.length > 0 ? this.deliver(next, 0, false) : this.sync(next, leader);
        }
        next = advanceClocks(advanceClocks(next, undefined), undefined);
        next = this.step(next, leader, { kind: "tick", now: next.members[leader].now, random: 0 });
        while (next.inFlightMessages.length > 0) {
            next = this.deliver(next, 0, false);
        }
        return next;
    }
}

function setMember(state: ConsensusModelState, id: string, member: Member): ConsensusModelState {
    return { ...state, members: { ...state.members, [id]: member } };
}

function advanceClocks(state: ConsensusModelState, lagging: string | undefined): ConsensusModelState {
    const members: Record<string, Member> = {};
    for (const [id, member] of Object.entries(state.members)) {
        members[id] = id === lagging ? member : { ...member, now: member.now + UNIT_MS };
    }
    return { ...state, members, lagLeft: state.lagLeft - (lagging === undefined ? 0 : 1) };
}

function mergeEntries(stored: readonly LogEntry<string>[], added: readonly LogEntry<string>[]): LogEntry<string>[] {
    const first = added[0]?.index ?? Number.POSITIVE_INFINITY;
    return [...stored.filter(entry => entry.index < first), ...added];
}

function recordCommits(state: ConsensusModelState, id: string): ConsensusModelState {
    const member = state.members[id].state;
    if (member === undefined) {
        return state;
    }
    let { committed, conflict } = state;
    for (const entry of member.entries) {
        if (entry.index > member.commitIndex) {
            break;
        }
        const text = `${entry.term}/${JSON.stringify(entry.payload)}`;
        const recorded = committed[entry.index];
        if (recorded === undefined) {
            committed = { ...committed, [entry.index]: text };
        }
        else if (recorded !== text) {
            conflict = `index ${entry.index} was committed as ${recorded} and as ${text}`;
        }
    }
    return { ...state, committed, conflict };
}

function describeSecondLeader(state: ConsensusModelState): string | undefined {
    for (const [term, leaders] of Object.entries(state.leaders)) {
        if (leaders.length > 1) {
            return `term ${term} was led by ${leaders.join(" and ")}`;
        }
    }
    return undefined;
}

function describeSecondLeaseHolder(state: ConsensusModelState, timing: ConsensusOptions): string | undefined {
    const holders = Object.values(state.members).filter(member =>
        member.state !== undefined && canServeRead(member.state, member.now, timing)
    );
    return holders.length > 1
        ? `${holders.map(member => member.state?.id).join(" and ")} both hold a lease`
        : undefined;
}

function describeIncompleteLeader(state: ConsensusModelState): string | undefined {
    const leaders = Object.values(state.members).flatMap(member =>
        member.state?.role === Role.Leader ? [member.state] : []
    );
    const newest = leaders.reduce<State | undefined>(
        (best, item) => best === undefined || item.hardState.term > best.hardState.term ? item : best,
        undefined,
    );
    if (newest === undefined) {
        return undefined;
    }
    for (const [index, text] of Object.entries(state.committed)) {
        const entryTerm = Number(text.split("/", 1)[0]);
        if (entryTerm < newest.hardState.term && getTermAt(newest, Number(index)) !== entryTerm) {
            return `${newest.id} leads term ${newest.hardState.term} without committed index ${index}`;
        }
    }
    return undefined;
}

/** Encodes a member's state with times relative to its clock, so that states with equal behaviour are equal. */
function encodeMember(state: State, now: number): unknown {
    const toRelative = (time: number) => Math.max(-HORIZON_MS, Math.min(HORIZON_MS, time - now));
    const peers = Object.entries(state.peers).sort(([left], [right]) => left < right ? -1 : 1)
        .map(([id, peer]) => [id, peer.nextIndex, peer.matchIndex, toRelative(peer.answeredSentAt)]);
    return [
        state.hardState,
        state.role,
        state.leaderId,
        state.entries.map(entry => [entry.term, entry.payload]),
        state.commitIndex,
        state.durableIndex,
        Math.max(0, toRelative(state.electionDeadline)),
        Math.max(0, toRelative(state.noVoteUntil)),
        state.votes,
        peers,
        state.role === Role.Leader ? [Math.max(0, toRelative(state.heartbeatDue)), toRelative(state.leaderSince)] : 0,
    ];
}

function encodeMessage(inFlight: InFlightMessage, state: ConsensusModelState): unknown {
    const { message } = inFlight;
    if (message.kind === "append") {
        return { ...message, sentAt: Math.max(-HORIZON_MS, message.sentAt - state.members[inFlight.from].now) };
    }
    if (message.kind === "appendAnswer") {
        return { ...message, sentAt: Math.max(-HORIZON_MS, message.sentAt - state.members[inFlight.to].now) };
    }
    return message;
}
