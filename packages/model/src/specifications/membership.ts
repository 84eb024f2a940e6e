import { type MemberChange, MemberSilence, planMembership } from "@kumquathall/control";
import { type Invariant, Specification, type Transition } from "../explore.js";

/** One unit of model time in milliseconds. */
const UNIT_MS = 500;
/** Losses that the group bears at once. */
const TOLERATED = 2;
const TARGET_MEMBERS = 2 * TOLERATED + 1;
/** Time for which a VM that is back still counts as lost, in units. */
const CATCH_UP_UNITS = 8;
/** Times beyond this behave alike, in units: longer than the time after which a silent member is replaced. */
const HORIZON_UNITS = 6;
/** Longest time without a leader while one can be elected, in units. */
const ELECTION_UNITS = 2;

/** A VM with the process that it runs, and what the leader knows of it. */
interface Vm {
    isUp: boolean;
    /** Whether its process asks to join, but never answers the leader. */
    isHanging: boolean;
    /** Number of acknowledged commands that its disk holds. */
    held: number;
    /** Time for which it still counts as lost once it is up, in units. */
    lostUnits: number;
    isMember: boolean;
    /** Whether the process before it, whose disk is lost, is still a member. */
    isFormerMember: boolean;
    isLeader: boolean;
    isLearner: boolean;
    /** Time since the leader began to send to it, in units. */
    sentUnits: number;
    /** Time since it answered the leader, in units; `undefined` if it has not. */
    answeredUnits: number | undefined;
}

export interface MembershipModelState {
    /** Sorted, since VMs in the same condition are interchangeable. */
    vms: readonly Vm[];
    acknowledged: number;
    /** Number of commands that were acknowledged when time last passed. */
    acknowledgedBefore: number;
    leaderlessUnits: number;
    /** Position of the member that was added last, if no time has passed since. */
    added: number | undefined;
    /** A removal that undid the addition before it. */
    fault: string | undefined;
    lossesLeft: number;
    commandsLeft: number;
}

export interface MembershipModelOptions {
    name: string;
    disabledGuard?: string;
    /** VMs beside the group at the start, and how many of them hang. */
    joiners: number;
    hanging: number;
    losses: number;
    commands: number;
}

/**
 * The members of a control group, of which disks are lost and which are down for any time, at most two at once; each counts as
 * lost for a while after it is back. Changes are chosen by the product's own rules and commit at once.
 */
export class MembershipSpecification extends Specification<MembershipModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<MembershipModelState>[] = [
        { name: "a majority of the members is up", check: describeMinority },
        { name: "a member that is up holds all that was acknowledged", check: describeLostCommand },
        { name: "no member is removed that has just been added", check: state => state.fault },
    ];
    private readonly disabledGuards: string[];

    constructor(private readonly options: MembershipModelOptions) {
        super();
        this.name = options.name;
        // Learners have answered before they are added, so that only processes that are added at once show this fault.
        this.disabledGuards = options.disabledGuard === "silenceFromSending"
            ? ["silenceFromSending", "addOnlyCopies"]
            : [options.disabledGuard ?? ""];
        this.bounds = `${TARGET_MEMBERS} members, ${options.joiners} joiners of which ${options.hanging} hang, `
            + `${options.losses} losses, ${TOLERATED} at once, ${options.commands} commands`;
    }

    override create(): MembershipModelState {
        const { joiners, hanging, losses, commands } = this.options;
        const vms = Array.from({ length: TARGET_MEMBERS + joiners }, (_, at): Vm => ({
            isUp: true,
            isHanging: at >= TARGET_MEMBERS + joiners - hanging,
            held: 0,
            lostUnits: 0,
            isMember: at < TARGET_MEMBERS,
            isFormerMember: false,
            isLeader: at === 0,
            isLearner: false,
            sentUnits: HORIZON_UNITS,
            answeredUnits: at < TARGET_MEMBERS ? 0 : undefined,
        }));
        return toSortedState({
            vms,
            acknowledged: 0,
            acknowledgedBefore: 0,
            leaderlessUnits: 0,
            added: undefined,
            fault: undefined,
            lossesLeft: losses,
            commandsLeft: commands,
        });
    }

    override listTransitions(state: MembershipModelState): Transition<MembershipModelState>[] {
        const transitions: Transition<MembershipModelState>[] = [];
        const planned = this.applyPlan(state);
        if (planned !== undefined) {
            transitions.push(planned);
        }
        const leader = state.vms.find(vm => vm.isLeader);
        const candidates = leader === undefined ? listCandidates(state) : [];
        for (const at of candidates) {
            transitions.push({ name: `elect ${describeVm(state, at)}`, apply: () => becomeLeader(state, at) });
        }
        const isWaiting = candidates.length > 0 && state.leaderlessUnits >= ELECTION_UNITS;
        // The leader decides several times a second, so that no time passes while there is something to change.
        if (planned === undefined && !isWaiting) {
            transitions.push({ name: "time passes", apply: () => passTime(state) });
        }
        if (leader !== undefined && state.commandsLeft > 0) {
            transitions.push(...listAcknowledgements(state));
        }
        const lost = state.vms.filter(isLost).length;
        for (const [at, vm] of state.vms.entries()) {
            if (!vm.isUp) {
                const back = { isUp: true, lostUnits: CATCH_UP_UNITS };
                transitions.push({
                    name: `${describeVm(state, at)} is back`,
                    apply: () => updateVm(state, at, back),
                });
            }
            else if (
                state.lossesLeft > 0 && (vm.isMember || vm.isLearner) && (isLost(vm) || lost < TOLERATED)
            ) {
                transitions.push(
                    { name: `${describeVm(state, at)} goes down`, apply: () => recordLoss(state, at, true) },
                    { name: `${describeVm(state, at)} loses its disk`, apply: () => recordLoss(state, at, false) },
                );
            }
        }
        return removeRepeated(transitions);
    }

    override encode(state: MembershipModelState): string {
        return JSON.stringify([
            state.vms.map(encodeVm),
            state.acknowledged,
            state.acknowledgedBefore,
            state.leaderlessUnits,
            state.added,
            state.fault,
            state.lossesLeft,
            state.commandsLeft,
        ]);
    }

    /** What the leader does by the product's rules; `undefined` if that is nothing, or can't be committed. */
    private applyPlan(state: MembershipModelState): Transition<MembershipModelState> | undefined {
        const { vms } = state;
        const self = vms.findIndex(vm => vm.isLeader);
        if (self === -1) {
            return undefined;
        }
        const silence = this.buildSilence(vms);
        const getVm = (id: string) => vms[listIds(vms).indexOf(id)];
        const plan = planMembership({
            members: listMembers(vms),
            self: formatId(self),
            joiners: vms.flatMap((vm, at) => vm.isUp && !vm.isMember ? [formatId(at)] : []),
            hasCopy: id =>
                getVm(id).isLearner && getVm(id).answeredUnits !== undefined
                && getVm(id).held >= state.acknowledgedBefore,
            getSilenceMs: id => silence.compute(0, id, toTime(getVm(id)?.answeredUnits)),
            targetMembers: TARGET_MEMBERS,
            disabledGuards: this.disabledGuards,
        });
        const next = setLearners(state, plan.learners);
        if (plan.change !== undefined && canCommit(vms, plan.change.members)) {
            const { change } = plan;
            return { name: `${change.kind} ${change.member}`, apply: () => applyChange(next, change) };
        }
        return encodeAll(next.vms) === encodeAll(vms)
            ? undefined
            : { name: "send to learners", apply: () => toSortedState(next) };
    }

    /** Lets the product measure silence, as the leader would have from when it began to send to each process. */
    private buildSilence(vms: readonly Vm[]): MemberSilence {
        const silence = new MemberSilence({ disabledGuards: this.disabledGuards });
        for (let units = HORIZON_UNITS; units >= 0; units--) {
            const receivers = vms.flatMap((vm, at) => vm.sentUnits < units ? [] : listReceiverIds(vm, at));
            silence.update(-units * UNIT_MS, receivers);
        }
        return silence;
    }
}

/** Id of the process that a VM runs; a member whose disk is lost had the bare address. */
function formatId(at: number): string {
    return `vm${at}:1#new`;
}

function formatFormerId(at: number): string {
    return `vm${at}:1`;
}

function listIds(vms: readonly Vm[]): string[] {
    return vms.map((_, at) => formatId(at));
}

function listReceiverIds(vm: Vm, at: number): string[] {
    return [
        ...vm.isMember || vm.isLearner ? [formatId(at)] : [],
        ...vm.isFormerMember ? [formatFormerId(at)] : [],
    ];
}

function listMembers(vms: readonly Vm[]): string[] {
    return vms.flatMap((vm, at) => [
        ...vm.isMember ? [formatId(at)] : [],
        ...vm.isFormerMember ? [formatFormerId(at)] : [],
    ]);
}

function toTime(units: number | undefined): number | undefined {
    return units === undefined ? undefined : -units * UNIT_MS;
}

function isLost(vm: Vm): boolean {
    return !vm.isUp || vm.lostUnits > 0;
}

function isAnswering(vm: Vm): boolean {
    return vm.isUp && !vm.isHanging;
}

function countMajority(vms: readonly Vm[]): number {
    return Math.floor(listMembers(vms).length / 2) + 1;
}

function canCommit(vms: readonly Vm[], members: readonly string[]): boolean {
    const answering = vms.filter((vm, at) => isAnswering(vm) && members.includes(formatId(at)));
    return answering.length >= Math.floor(members.length / 2) + 1;
}

/** Sorts the VMs by their condition. Those that hang come first, so that they are the first that ask to join. */
function toSortedState(state: MembershipModelState): MembershipModelState {
    const added = state.added === undefined ? undefined : state.vms[state.added];
    const vms = [...state.vms].sort((left, right) => {
        const [leftKey, rightKey] = [JSON.stringify(encodeVm(left)), JSON.stringify(encodeVm(right))];
        return Number(right.isHanging) - Number(left.isHanging)
            || (leftKey < rightKey ? -1 : leftKey > rightKey ? 1 : 0);
    });
    return { ...state, vms, added: added === undefined ? undefined : vms.indexOf(added) };
}

function updateVm(state: MembershipModelState, at: number, change: Partial<Vm>): MembershipModelState {
    return toSortedState({ ...state, vms: state.vms.map((vm, other) => other === at ? { ...vm, ...change } : vm) });
}

function recordLoss(state: MembershipModelState, at: number, keepsDisk: boolean): MembershipModelState {
    const vm = state.vms[at];
    const forgotten = vm.isLeader ? forgetLeader(state) : state;
    const down: Partial<Vm> = { isUp: false, isLeader: false, isLearner: false };
    const change = keepsDisk
        ? down
        : {
            ...down,
            held: 0,
            isMember: false,
            isFormerMember: vm.isFormerMember || vm.isMember,
            answeredUnits: undefined,
        };
    return updateVm({ ...forgotten, lossesLeft: state.lossesLeft - 1 }, at, change);
}

function forgetLeader(state: MembershipModelState): MembershipModelState {
    const vms = state.vms.map(vm => ({
        ...vm,
        isLeader: false,
        isLearner: false,
        sentUnits: 0,
        answeredUnits: undefined,
    }));
    return { ...state, vms, leaderlessUnits: 0, added: undefined };
}

/** Positions of the members that a majority would vote for. */
function listCandidates({ vms }: MembershipModelState): number[] {
    const voters = vms.filter(vm => vm.isMember && isAnswering(vm));
    return vms.flatMap((vm, at) =>
        voters.includes(vm) && voters.filter(voter => voter.held <= vm.held).length >= countMajority(vms) ? [at] : []
    );
}

function becomeLeader(state: MembershipModelState, at: number): MembershipModelState {
    return updateVm({ ...state, leaderlessUnits: 0 }, at, { isLeader: true });
}

function passTime(state: MembershipModelState): MembershipModelState {
    const hasLeader = state.vms.some(vm => vm.isLeader);
    const advance = (units: number) => Math.min(HORIZON_UNITS, units + 1);
    const vms = state.vms.map((vm): Vm => {
        const receives = hasLeader && (vm.isMember || vm.isLearner);
        const answers = receives && isAnswering(vm);
        return {
            ...vm,
            held: answers ? state.acknowledged : vm.held,
            lostUnits: vm.isUp ? Math.max(0, vm.lostUnits - 1) : vm.lostUnits,
            // Once it has answered, only that counts.
            sentUnits: answers ? HORIZON_UNITS : receives || vm.isFormerMember && hasLeader ? advance(vm.sentUnits) : 0,
            answeredUnits: answers ? 0 : vm.answeredUnits === undefined ? undefined : advance(vm.answeredUnits),
        };
    });
    const leaderlessUnits = hasLeader ? 0 : Math.min(ELECTION_UNITS, state.leaderlessUnits + 1);
    return toSortedState({ ...state, vms, acknowledgedBefore: state.acknowledged, leaderlessUnits, added: undefined });
}

function setLearners(state: MembershipModelState, learners: readonly string[]): MembershipModelState {
    const vms = state.vms.map((vm, at): Vm => {
        const isLearner = learners.includes(formatId(at));
        const isNew = isLearner && !vm.isLearner;
        return { ...vm, isLearner, ...isNew ? { sentUnits: 0, answeredUnits: undefined } : {} };
    });
    return { ...state, vms };
}

function applyChange(state: MembershipModelState, change: MemberChange): MembershipModelState {
    const at = state.vms.findIndex((_, position) =>
        [formatId(position), formatFormerId(position)].includes(change.member)
    );
    const isFormer = change.member === formatFormerId(at);
    const fault = change.kind === "remove" && !isFormer && at === state.added
        ? `${change.member} is removed right after it was added`
        : state.fault;
    const next = { ...state, fault, added: change.kind === "add" ? at : undefined };
    const { isLearner } = state.vms[at];
    return updateVm(
        next,
        at,
        isFormer
            ? { isFormerMember: false }
            : { isMember: change.kind === "add", isLearner: isLearner && change.kind === "remove" },
    );
}

/** A command is acknowledged once some majority of the members holds it, whichever that is. */
function listAcknowledgements(state: MembershipModelState): Transition<MembershipModelState>[] {
    const others = state.vms.flatMap((vm, at) => vm.isMember && isAnswering(vm) && !vm.isLeader ? [at] : []);
    const acknowledged = state.acknowledged + 1;
    return listSubsets(others, countMajority(state.vms) - 1).map(holders => ({
        name: `acknowledge a command that ${holders.map(at => describeVm(state, at)).join(" and ")} hold`,
        apply: () =>
            toSortedState({
                ...state,
                acknowledged,
                commandsLeft: state.commandsLeft - 1,
                vms: state.vms.map((vm, at) =>
                    vm.isLeader || holders.includes(at) ? { ...vm, held: acknowledged } : vm
                ),
            }),
    }));
}

function listSubsets(items: readonly number[], size: number): number[][] {
    if (size === 0) {
        return [[]];
    }
    return items.flatMap((item, at) => listSubsets(items.slice(at + 1), size - 1).map(rest => [item, ...rest]));
}

/** Of transitions of VMs in the same condition, one is enough. */
function removeRepeated(transitions: Transition<MembershipModelState>[]): Transition<MembershipModelState>[] {
    return [...new Map(transitions.map(transition => [transition.name, transition])).values()];
}

/** Names a VM by its condition, so that VMs in the same condition have the same name. */
function describeVm(state: MembershipModelState, at: number): string {
    const vm = state.vms[at];
    const role = vm.isLeader ? "leader" : vm.isMember ? "member" : vm.isLearner ? "learner" : "joiner";
    return `${role} ${JSON.stringify(encodeVm(vm))}`;
}

function encodeVm(vm: Vm): unknown[] {
    const flags = [vm.isUp, vm.isHanging, vm.isMember, vm.isFormerMember, vm.isLeader, vm.isLearner];
    return [flags.map(Number).join(""), vm.held, vm.lostUnits, vm.sentUnits, vm.answeredUnits ?? -1];
}

function encodeAll(vms: readonly Vm[]): string {
    return JSON.stringify(vms.map(encodeVm));
}

function describeMinority({ vms }: MembershipModelState): string | undefined {
    const up = vms.filter(vm => vm.isMember && isAnswering(vm)).length;
    return up >= countMajority(vms) ? undefined : `${up} of ${listMembers(vms).length} members are up`;
}

function describeLostCommand({ vms, acknowledged }: MembershipModelState): string | undefined {
    const held = Math.max(...vms.map(vm => vm.isMember && isAnswering(vm) ? vm.held : 0));
    return held === acknowledged ? undefined : `the members that are up hold ${held} of ${acknowledged} commands`;
}
