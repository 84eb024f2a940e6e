import { decideStart } from "@kumquathall/agent";
import {
    applyCommand,
    type ControlState,
    createControlState,
    getGroup,
    getVm,
    isSameFencing,
    listGroups,
    listVms,
} from "@kumquathall/control-state";
import {
    canConfirmRelease,
    createHeadLeases,
    createMemberGrants,
    decideGrant,
    type GroupLeaseTiming,
    hasAllLeases,
    type HeadLeases,
    type MemberGrants,
    recordGrant,
} from "@kumquathall/group-lease";
import {
    type Command,
    type FencingNumber,
    GroupState,
    type ReplicaGroup,
    type VmRecord,
    VmState,
} from "@kumquathall/types";
import { type Invariant, type Move, Specification } from "../explore.js";

/** One unit of model time, in milliseconds. */
const UNIT_MS = 500;
const TIMING: GroupLeaseTiming = { leaseMs: 1000, marginMs: 500, intervalMs: 500 };
const AT = "2026-01-01T00:00:00.000Z";
const HORIZON_MS = 3000;

/** One VM: its agent's knowledge and promises, and its engine, which outlives the agent. */
interface VmModel {
    isUp: boolean;
    incarnation: number;
    /** What the agent last read of its own record and group. */
    vm: VmRecord | undefined;
    group: ReplicaGroup | undefined;
    grants: MemberGrants;
    leases: HeadLeases | undefined;
    /** Number under which the engine was loaded; it may go on computing for that group. */
    engine: FencingNumber | undefined;
    /** Number under which this agent incarnation loaded. */
    loaded: FencingNumber | undefined;
    /** A confirmation that was sent and may arrive late. */
    downSince: number | undefined;
}

export interface GroupsModelState {
    control: ControlState;
    index: number;
    now: number;
    vms: Readonly<Record<string, VmModel>>;
    /** Commands under way to control; they may be late, and one may arrive twice. */
    flights: readonly Command[];
    crashesLeft: number;
    lossesLeft: number;
    formsLeft: number;
    duplicatesLeft: number;
}

export interface GroupsModelOptions {
    name: string;
    disabledGuard?: string;
    crashes: number;
    losses: number;
    forms: number;
    duplicates: number;
    /** Fabric domain of each VM. */
    domains: Record<string, string>;
    /** Runs until a group of the first two VMs serves before exploration begins. */
    isServingAtStart: boolean;
}

/** Control's replicated state, the agents of a few VMs, and the messages between them. */
export class GroupsSpecification extends Specification<GroupsModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<GroupsModelState>[] = [
        { name: "no VM belongs to two replica groups at once", check: state => this.describeDoubleUse(state) },
        {
            name: "no replica group serves while any of its VMs is missing",
            check: state => this.describeMissingMember(state),
        },
        { name: "a free VM runs nothing", check: state => describeBusyFreeVm(state) },
        { name: "a replica group lies in one fabric domain", check: state => this.describeSpreadGroup(state) },
    ];

    constructor(private readonly options: GroupsModelOptions) {
        super();
        this.name = options.name;
        this.bounds = `${Object.keys(options.domains).length} VMs, groups of two, ${options.forms} group formations, `
            + `${options.crashes} agent crashes, ${options.losses} losses declared, ${options.duplicates} duplicates`;
    }

    override create(): GroupsModelState {
        const vms: Record<string, VmModel> = {};
        for (const id of Object.keys(this.options.domains)) {
            vms[id] = {
                isUp: true,
                incarnation: 1,
                vm: undefined,
                group: undefined,
                grants: { grantedUntil: Number.NEGATIVE_INFINITY },
                leases: undefined,
                engine: undefined,
                loaded: undefined,
                downSince: undefined,
            };
        }
        const { crashes, losses, forms, duplicates } = this.options;
        let state: GroupsModelState = {
            control: createControlState(),
            index: 0,
            now: 0,
            vms,
            flights: [],
            crashesLeft: crashes,
            lossesLeft: losses,
            formsLeft: forms,
            duplicatesLeft: duplicates,
        };
        for (const id of Object.keys(vms)) {
            state = this.apply(state, this.buildRegistration(state, id));
            state = this.read(state, id);
            state = this.applyAll(this.release(state, id));
        }
        return this.options.isServingAtStart ? this.startServing(state) : state;
    }

    override listMoves(state: GroupsModelState): Move<GroupsModelState>[] {
        const moves: Move<GroupsModelState>[] = [];
        this.addControlMoves(state, moves);
        for (const [at, command] of state.flights.entries()) {
            const rest = { ...state, flights: state.flights.filter((_, other) => other !== at) };
            const name = `${command.kind} of ${"vm" in command ? command.vm : ""}`;
            moves.push({ name: `control gets ${name}`, apply: () => this.apply(rest, command) });
            if (state.duplicatesLeft > 0) {
                moves.push({
                    name: `control gets ${name}, which is doubled`,
                    apply: () => this.apply({ ...state, duplicatesLeft: state.duplicatesLeft - 1 }, command),
                });
            }
        }
        for (const id of Object.keys(state.vms)) {
            this.addVmMoves(state, id, moves);
        }
        moves.push({ name: "time passes", apply: () => ({ ...state, now: state.now + UNIT_MS }) });
        return moves;
    }

    override encode(state: GroupsModelState): string {
        const relate = (time: number) => Math.max(-HORIZON_MS, time - state.now);
        const vms = Object.entries(state.vms).map(([id, vm]) => [
            id,
            vm.isUp,
            vm.incarnation,
            vm.vm,
            vm.group,
            Math.max(0, relate(vm.grants.grantedUntil)),
            vm.leases?.leases.map(lease => Math.max(0, relate(lease.until))),
            vm.leases?.groupId,
            vm.engine,
            vm.loaded,
            vm.downSince === undefined ? undefined : relate(vm.downSince),
        ]);
        const records = [listVms(state.control.configuration), listGroups(state.control.configuration)];
        const flights = state.flights.map(command => JSON.stringify(command)).sort();
        return JSON.stringify([
            vms,
            records,
            flights,
            state.crashesLeft,
            state.lossesLeft,
            state.formsLeft,
            state.duplicatesLeft,
        ]);
    }

    private apply(state: GroupsModelState, command: Command): GroupsModelState {
        const index = state.index + 1;
        const applied = applyCommand(state.control, command, {
            index,
            term: 1,
            disabledGuard: this.options.disabledGuard,
        });
        return { ...state, control: applied.state, index };
    }

    private applyAll(state: GroupsModelState): GroupsModelState {
        let next: GroupsModelState = { ...state, flights: [] };
        for (const command of state.flights) {
            next = this.apply(next, command);
        }
        return next;
    }

    private buildRegistration(state: GroupsModelState, id: string): Command {
        return {
            kind: "registerVm",
            vm: id,
            incarnation: String(state.vms[id].incarnation),
            attributes: {
                dataCentre: "a",
                fabricDomain: this.options.domains[id],
                accelerators: 2,
                kind: "model",
                fencing: "ignored",
                address: "",
            },
            at: AT,
        };
    }

    private addControlMoves(state: GroupsModelState, moves: Move<GroupsModelState>[]): void {
        const ids = Object.keys(state.vms);
        if (state.formsLeft > 0) {
            for (const head of ids) {
                for (const member of ids) {
                    if (head < member) {
                        moves.push({
                            name: `control forms a group of ${head} and ${member}`,
                            apply: () => this.form(state, [head, member]),
                        });
                    }
                }
            }
        }
        for (const id of ids) {
            const vm = getVm(state.control.configuration, id);
            if (state.lossesLeft > 0 && vm?.present === true) {
                const command: Command = { kind: "loseVm", vm: id, incarnation: vm.incarnation, at: AT };
                moves.push({
                    name: `control declares ${id} lost`,
                    apply: () => this.apply({ ...state, lossesLeft: state.lossesLeft - 1 }, command),
                });
            }
            const isNews = vm === undefined || vm.incarnation !== String(state.vms[id].incarnation) || !vm.present;
            if (state.vms[id].isUp && isNews) {
                moves.push({
                    name: `control hears of ${id}`,
                    apply: () => this.apply(state, this.buildRegistration(state, id)),
                });
            }
        }
    }

    private form(state: GroupsModelState, vms: string[]): GroupsModelState {
        const command: Command = {
            kind: "formGroup",
            groupId: `g${state.formsLeft}`,
            institution: "i",
            service: "s",
            serviceVersion: 1,
            vms,
            models: [],
            at: AT,
        };
        return this.apply({ ...state, formsLeft: state.formsLeft - 1 }, command);
    }

    private addVmMoves(state: GroupsModelState, id: string, moves: Move<GroupsModelState>[]): void {
        const vm = state.vms[id];
        if (!vm.isUp) {
            moves.push({ name: `the agent of ${id} restarts`, apply: () => this.restart(state, id) });
            return;
        }
        const record = getVm(state.control.configuration, id);
        if (
            record !== vm.vm
            || (record?.groupId !== undefined && getGroup(state.control.configuration, record.groupId) !== vm.group)
        ) {
            moves.push({ name: `${id} reads its record`, apply: () => this.read(state, id) });
        }
        if (
            vm.vm?.state === VmState.Assigned && vm.group?.state === GroupState.Loading
            && !isSameFencing(vm.loaded, vm.vm.fencing)
        ) {
            moves.push({ name: `${id} loads`, apply: () => this.load(state, id) });
        }
        if (
            vm.vm?.state === VmState.Releasing && vm.vm.incarnation === String(vm.incarnation)
            && canConfirmRelease(vm.grants, state.now, this.options.disabledGuard)
        ) {
            moves.push({ name: `${id} stops its engine and confirms`, apply: () => this.release(state, id) });
        }
        if (vm.group?.vms[0] === id && vm.vm?.state === VmState.Assigned) {
            for (const member of vm.group.vms) {
                moves.push({
                    name: `${id} asks ${member} for its lease`,
                    apply: () => this.askLease(state, id, member),
                });
            }
        }
        if (state.crashesLeft > 0) {
            const down = { ...vm, isUp: false, downSince: state.now, leases: undefined };
            moves.push({
                name: `the agent of ${id} crashes`,
                apply: () => ({ ...setVm(state, id, down), crashesLeft: state.crashesLeft - 1 }),
            });
        }
    }

    /** A new incarnation knows no numbers and no promises; the engine still runs what it ran. */
    private restart(state: GroupsModelState, id: string): GroupsModelState {
        const { engine, incarnation } = state.vms[id];
        return setVm(state, id, {
            isUp: true,
            incarnation: incarnation + 1,
            vm: undefined,
            group: undefined,
            grants: createMemberGrants(state.now, TIMING, this.options.disabledGuard),
            leases: undefined,
            engine,
            loaded: undefined,
            downSince: undefined,
        });
    }

    private read(state: GroupsModelState, id: string): GroupsModelState {
        const vm = getVm(state.control.configuration, id);
        const group = vm?.groupId === undefined ? undefined : getGroup(state.control.configuration, vm.groupId);
        const known = state.vms[id];
        const isSameGroup = known.leases !== undefined && group !== undefined && known.leases.groupId === group.id
            && isSameFencing(known.leases.fencing, group.fencing);
        const isHead = group !== undefined && group.vms[0] === id && vm?.state === VmState.Assigned;
        const leases = !isHead
            ? undefined
            : isSameGroup
            ? known.leases
            : createHeadLeases(group.id, group.fencing, group.vms);
        return setVm(state, id, { ...known, vm, group, leases });
    }

    private load(state: GroupsModelState, id: string): GroupsModelState {
        const known = state.vms[id];
        if (known.vm === undefined || known.group === undefined) {
            return state;
        }
        const { fencing } = known.vm;
        const command: Command = {
            kind: "confirmLoad",
            groupId: known.group.id,
            vm: id,
            incarnation: String(known.incarnation),
            fencing,
            at: AT,
        };
        return {
            ...setVm(state, id, { ...known, engine: fencing, loaded: fencing }),
            flights: [...state.flights, command],
        };
    }

    private release(state: GroupsModelState, id: string): GroupsModelState {
        const known = state.vms[id];
        if (known.vm === undefined) {
            return state;
        }
        const { fencing } = known.vm;
        const command: Command = {
            kind: "confirmRelease",
            vm: id,
            incarnation: String(known.incarnation),
            fencing,
            at: AT,
        };
        const isKnown = state.flights.some(item => JSON.stringify(item) === JSON.stringify(command));
        return {
            ...setVm(state, id, { ...known, engine: undefined, loaded: undefined }),
            flights: isKnown ? state.flights : [...state.flights, command],
        };
    }

    private askLease(state: GroupsModelState, head: string, member: string): GroupsModelState {
        const headModel = state.vms[head];
        const memberModel = state.vms[member];
        if (headModel.leases === undefined || !memberModel.isUp) {
            return state;
        }
        const decision = decideGrant({
            grants: memberModel.grants,
            vm: memberModel.vm,
            incarnation: String(memberModel.incarnation),
            isEngineLoaded: isSameFencing(memberModel.loaded, memberModel.vm?.fencing),
            groupId: headModel.leases.groupId,
            fencing: headModel.leases.fencing,
            now: state.now,
            timing: TIMING,
        });
        if (!decision.isGranted) {
            return state;
        }
        const granted = setVm(state, member, { ...memberModel, grants: decision.grants });
        const leases = recordGrant(headModel.leases, member, state.now, TIMING);
        return setVm(granted, head, { ...granted.vms[head], leases });
    }

    /** Whether the head would start a request now, by the product's own gate. */
    private canStart(state: GroupsModelState, head: string): boolean {
        const vm = state.vms[head];
        if (!vm.isUp || vm.group === undefined) {
            return false;
        }
        const isWhole = vm.leases !== undefined && hasAllLeases(vm.leases, state.now, this.options.disabledGuard);
        const decision = decideStart({
            isStopping: false,
            hasConfigurationLease: true,
            isEngineHealthy: isSameFencing(vm.loaded, vm.vm?.fencing),
            group: vm.group,
            vm: head,
            vmState: vm.vm?.state,
            isPlain: false,
            leases: this.options.disabledGuard === "allMemberLeases" && vm.leases !== undefined
                ? { ...vm.leases, leases: [] }
                : vm.leases,
            requestedGroupId: vm.group.id,
            requestedFencing: vm.group.fencing,
            remainingMs: 1000,
            running: 0,
            maxRunning: 1,
            isQuarantined: false,
            now: state.now,
        });
        return decision.kind === "start" && isWhole;
    }

    private describeDoubleUse(state: GroupsModelState): string | undefined {
        const users = new Map<string, string>();
        for (const id of Object.keys(state.vms)) {
            const { group } = state.vms[id];
            if (group === undefined || !this.canStart(state, id)) {
                continue;
            }
            for (const member of group.vms) {
                const other = users.get(member);
                if (other !== undefined) {
                    return `${member} is used by ${other} and ${group.id}`;
                }
                users.set(member, group.id);
            }
        }
        return undefined;
    }

    /** A member may be gone for as long as its lease runs, no longer; and it computes for no other group. */
    private describeMissingMember(state: GroupsModelState): string | undefined {
        for (const id of Object.keys(state.vms)) {
            const { group } = state.vms[id];
            if (group === undefined || !this.canStart(state, id)) {
                continue;
            }
            for (const member of group.vms) {
                const { engine, downSince } = state.vms[member];
                if (!isSameFencing(engine, group.fencing)) {
                    return `${group.id} serves, but the engine of ${member} runs nothing for it`;
                }
                if (downSince !== undefined && state.now - downSince > TIMING.leaseMs) {
                    return `${group.id} serves, but ${member} has been gone for ${state.now - downSince} ms`;
                }
            }
        }
        return undefined;
    }

    private describeSpreadGroup(state: GroupsModelState): string | undefined {
        for (const group of listGroups(state.control.configuration)) {
            const domains = new Set(group.vms.map(vm => this.options.domains[vm]));
            if (domains.size > 1) {
                return `${group.id} lies in ${[...domains].join(" and ")}`;
            }
        }
        return undefined;
    }

    private startServing(state: GroupsModelState): GroupsModelState {
        const [head, member] = Object.keys(state.vms);
        let next = this.form({ ...state, formsLeft: state.formsLeft + 1 }, [head, member]);
        for (const id of [head, member]) {
            next = this.read(next, id);
            next = this.applyAll(this.load(next, id));
        }
        for (const id of [head, member]) {
            next = this.read(next, id);
        }
        return this.askLease(this.askLease(next, head, head), head, member);
    }
}

function setVm(state: GroupsModelState, id: string, vm: VmModel): GroupsModelState {
    return { ...state, vms: { ...state.vms, [id]: vm } };
}

/** A VM that control believes free must not compute for anyone. */
function describeBusyFreeVm(state: GroupsModelState): string | undefined {
    for (const [id, vm] of Object.entries(state.vms)) {
        if (getVm(state.control.configuration, id)?.state === VmState.Free && vm.engine !== undefined) {
            return `${id} is free, but its engine still runs`;
        }
    }
    return undefined;
}
