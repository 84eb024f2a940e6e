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
import { type Invariant, Specification, type Transition } from "../explore.js";

/** One unit of model time, in milliseconds. */
const UNIT_MS = 500;
const TIMING: GroupLeaseTiming = { leaseMs: 1000, marginMs: 500, intervalMs: 500 };
const AT = "2026-01-01T00:00:00.000Z";
/** Times further in the past than this are encoded as equal. */
const HORIZON_MS = 3000;

/** One VM: the state of its agent, and its engine, which keeps running when the agent crashes. */
interface VmModel {
    isUp: boolean;
    incarnation: number;
    /** The VM's record and its group, as the agent last read them. */
    vm: VmRecord | undefined;
    group: ReplicaGroup | undefined;
    grants: MemberGrants;
    leases: HeadLeases | undefined;
    /** Fencing number under which the engine was loaded; the engine may still run for the group of that number. */
    engineFencing: FencingNumber | undefined;
    /** Fencing number under which this incarnation of the agent loaded the engine. */
    loadedFencing: FencingNumber | undefined;
    /** When the agent crashed; `undefined` while it is up. */
    downSince: number | undefined;
}

export interface GroupsModelState {
    control: ControlState;
    index: number;
    now: number;
    vms: Readonly<Record<string, VmModel>>;
    /** Commands in flight to control, which may arrive late, out of order or twice. */
    inFlightCommands: readonly Command[];
    crashesLeft: number;
    lossesLeft: number;
    formationsLeft: number;
    duplicatesLeft: number;
}

export interface GroupsModelOptions {
    name: string;
    disabledGuard?: string;
    crashes: number;
    losses: number;
    formations: number;
    duplicates: number;
    /** Fabric domain of each VM. */
    domains: Record<string, string>;
    /** Whether a group of the first two VMs serves in the initial state. */
    isServingAtStart: boolean;
}

/** Control's replicated state, the agents of a few VMs, and the commands between them. */
export class GroupsSpecification extends Specification<GroupsModelState> {
    override readonly name: string;
    override readonly bounds: string;
    override readonly invariants: Invariant<GroupsModelState>[] = [
        { name: "no VM belongs to two replica groups at once", check: state => this.describeSharedVm(state) },
        {
            name: "no replica group serves while any of its VMs is missing",
            check: state => this.describeMissingMember(state),
        },
        { name: "a free VM has no loaded engine", check: state => describeBusyFreeVm(state) },
        {
            name: "all VMs of a replica group are in one fabric domain",
            check: state => this.describeSpreadGroup(state),
        },
    ];

    constructor(private readonly options: GroupsModelOptions) {
        super();
        this.name = options.name;
        this.bounds =
            `${Object.keys(options.domains).length} VMs, groups of two, ${options.formations} group formations, `
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
                engineFencing: undefined,
                loadedFencing: undefined,
                downSince: undefined,
            };
        }
        const { crashes, losses, formations, duplicates } = this.options;
        let state: GroupsModelState = {
            control: createControlState(),
            index: 0,
            now: 0,
            vms,
            inFlightCommands: [],
            crashesLeft: crashes,
            lossesLeft: losses,
            formationsLeft: formations,
            duplicatesLeft: duplicates,
        };
        for (const id of Object.keys(vms)) {
            state = this.apply(state, this.buildRegistration(state, id));
            state = this.read(state, id);
            state = this.applyAll(this.release(state, id));
        }
        return this.options.isServingAtStart ? this.startServing(state) : state;
    }

    override listTransitions(state: GroupsModelState): Transition<GroupsModelState>[] {
        const transitions: Transition<GroupsModelState>[] = [];
        this.addControlTransitions(state, transitions);
        for (const [at, command] of state.inFlightCommands.entries()) {
            const rest = { ...state, inFlightCommands: state.inFlightCommands.filter((_, other) => other !== at) };
            const name = `${command.kind} of ${"vm" in command ? command.vm : ""}`;
            transitions.push({ name: `control receives ${name}`, apply: () => this.apply(rest, command) });
            if (state.duplicatesLeft > 0) {
                transitions.push({
                    name: `control receives ${name}, which is duplicated`,
                    apply: () => this.apply({ ...state, duplicatesLeft: state.duplicatesLeft - 1 }, command),
                });
            }
        }
        for (const id of Object.keys(state.vms)) {
            this.addVmTransitions(state, id, transitions);
        }
        transitions.push({ name: "time passes", apply: () => ({ ...state, now: state.now + UNIT_MS }) });
        return transitions;
    }

    override encode(state: GroupsModelState): string {
        const toRelative = (time: number) => Math.max(-HORIZON_MS, time - state.now);
        const vms = Object.entries(state.vms).map(([id, vm]) => [
            id,
            vm.isUp,
            vm.incarnation,
            vm.vm,
            vm.group,
            Math.max(0, toRelative(vm.grants.grantedUntil)),
            vm.leases?.leases.map(lease => Math.max(0, toRelative(lease.until))),
            vm.leases?.groupId,
            vm.engineFencing,
            vm.loadedFencing,
            vm.downSince === undefined ? undefined : toRelative(vm.downSince),
        ]);
        const records = [listVms(state.control.configuration), listGroups(state.control.configuration)];
        const inFlightCommands = state.inFlightCommands.map(command => JSON.stringify(command)).sort();
        return JSON.stringify([
            vms,
            records,
            inFlightCommands,
            state.crashesLeft,
            state.lossesLeft,
            state.formationsLeft,
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
        let next: GroupsModelState = { ...state, inFlightCommands: [] };
        for (const command of state.inFlightCommands) {
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

    private addControlTransitions(state: GroupsModelState, transitions: Transition<GroupsModelState>[]): void {
        const ids = Object.keys(state.vms);
        if (state.formationsLeft > 0) {
            for (const head of ids) {
                for (const member of ids) {
                    if (head < member) {
                        transitions.push({
                            name: `control forms a group of ${head} and ${member}`,
                            apply: () => this.formGroup(state, [head, member]),
                        });
                    }
                }
            }
        }
        for (const id of ids) {
            const vm = getVm(state.control.configuration, id);
            if (state.lossesLeft > 0 && vm?.present === true) {
                const command: Command = { kind: "loseVm", vm: id, incarnation: vm.incarnation, at: AT };
                transitions.push({
                    name: `control declares ${id} lost`,
                    apply: () => this.apply({ ...state, lossesLeft: state.lossesLeft - 1 }, command),
                });
            }
            const mustRegister = vm === undefined || vm.incarnation !== String(state.vms[id].incarnation)
                || !vm.present;
            if (state.vms[id].isUp && mustRegister) {
                transitions.push({
                    name: `control registers ${id}`,
                    apply: () => this.apply(state, this.buildRegistration(state, id)),
                });
            }
        }
    }

    private formGroup(state: GroupsModelState, vms: string[]): GroupsModelState {
        const command: Command = {
            kind: "formGroup",
            groupId: `g${state.formationsLeft}`,
            institution: "i",
            service: "s",
            serviceVersion: 1,
            vms,
            models: [],
            at: AT,
        };
        return this.apply({ ...state, formationsLeft: state.formationsLeft - 1 }, command);
    }

    private addVmTransitions(state: GroupsModelState, id: string, transitions: Transition<GroupsModelState>[]): void {
        const vm = state.vms[id];
        if (!vm.isUp) {
            transitions.push({ name: `the agent of ${id} restarts`, apply: () => this.restart(state, id) });
            return;
        }
        const record = getVm(state.control.configuration, id);
        if (
            record !== vm.vm
            || (record?.groupId !== undefined && getGroup(state.control.configuration, record.groupId) !== vm.group)
        ) {
            transitions.push({ name: `${id} reads its record`, apply: () => this.read(state, id) });
        }
        if (
            vm.vm?.state === VmState.Assigned && vm.group?.state === GroupState.Loading
            && !isSameFencing(vm.loadedFencing, vm.vm.fencing)
        ) {
            transitions.push({ name: `${id} loads`, apply: () => this.load(state, id) });
        }
        if (
            vm.vm?.state === VmState.Releasing && vm.vm.incarnation === String(vm.incarnation)
            && canConfirmRelease(vm.grants, state.now, this.options.disabledGuard)
        ) {
            transitions.push({ name: `${id} stops its engine and confirms`, apply: () => this.release(state, id) });
        }
        if (vm.group?.vms[0] === id && vm.vm?.state === VmState.Assigned) {
            for (const member of vm.group.vms) {
                transitions.push({
                    name: `${id} requests the lease of ${member}`,
                    apply: () => this.askLease(state, id, member),
                });
            }
        }
        if (state.crashesLeft > 0) {
            const down = { ...vm, isUp: false, downSince: state.now, leases: undefined };
            transitions.push({
                name: `the agent of ${id} crashes`,
                apply: () => ({ ...setVm(state, id, down), crashesLeft: state.crashesLeft - 1 }),
            });
        }
    }

    /** Starts a new incarnation without its predecessor's fencing numbers and grants; the engine keeps running. */
    private restart(state: GroupsModelState, id: string): GroupsModelState {
        const { engineFencing, incarnation } = state.vms[id];
        return setVm(state, id, {
            isUp: true,
            incarnation: incarnation + 1,
            vm: undefined,
            group: undefined,
            grants: createMemberGrants(state.now, TIMING, this.options.disabledGuard),
            leases: undefined,
            engineFencing,
            loadedFencing: undefined,
            downSince: undefined,
        });
    }

    private read(state: GroupsModelState, id: string): GroupsModelState {
        const vm = getVm(state.control.configuration, id);
        const group = vm?.groupId === undefined ? undefined : getGroup(state.control.configuration, vm.groupId);
        const current = state.vms[id];
        const isSameGroup = current.leases !== undefined && group !== undefined && current.leases.groupId === group.id
            && isSameFencing(current.leases.fencing, group.fencing);
        const isHead = group !== undefined && group.vms[0] === id && vm?.state === VmState.Assigned;
        const leases = !isHead
            ? undefined
            : isSameGroup
            ? current.leases
            : createHeadLeases(group.id, group.fencing, group.vms);
        return setVm(state, id, { ...current, vm, group, leases });
    }

    private load(state: GroupsModelState, id: string): GroupsModelState {
        const current = state.vms[id];
        if (current.vm === undefined || current.group === undefined) {
            return state;
        }
        const { fencing } = current.vm;
        const command: Command = {
            kind: "confirmLoad",
            groupId: current.group.id,
            vm: id,
            incarnation: String(current.incarnation),
            fencing,
            at: AT,
        };
        return {
            ...setVm(state, id, { ...current, engineFencing: fencing, loadedFencing: fencing }),
            inFlightCommands: [...state.inFlightCommands, command],
        };
    }

    private release(state: GroupsModelState, id: string): GroupsModelState {
        const current = state.vms[id];
        if (current.vm === undefined) {
            return state;
        }
        const { fencing } = current.vm;
        const command: Command = {
            kind: "confirmRelease",
            vm: id,
            incarnation: String(current.incarnation),
            fencing,
            at: AT,
        };
        const isInFlight = state.inFlightCommands.some(item => JSON.stringify(item) === JSON.stringify(command));
        return {
            ...setVm(state, id, { ...current, engineFencing: undefined, loadedFencing: undefined }),
            inFlightCommands: isInFlight ? state.inFlightCommands : [...state.inFlightCommands, command],
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
            isEngineLoaded: isSameFencing(memberModel.loadedFencing, memberModel.vm?.fencing),
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

    /** Whether the head would start a request now, by the product's own `decideStart` and `hasAllLeases`. */
    private canStart(state: GroupsModelState, head: string): boolean {
        const vm = state.vms[head];
        if (!vm.isUp || vm.group === undefined) {
            return false;
        }
        const isWhole = vm.leases !== undefined && hasAllLeases(vm.leases, state.now, this.options.disabledGuard);
        const decision = decideStart({
            isStopping: false,
            hasConfigurationLease: true,
            isEngineHealthy: isSameFencing(vm.loadedFencing, vm.vm?.fencing),
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

    private describeSharedVm(state: GroupsModelState): string | undefined {
        const owners = new Map<string, string>();
        for (const id of Object.keys(state.vms)) {
            const { group } = state.vms[id];
            if (group === undefined || !this.canStart(state, id)) {
                continue;
            }
            for (const member of group.vms) {
                const other = owners.get(member);
                if (other !== undefined) {
                    return `${member} is used by ${other} and ${group.id}`;
                }
                owners.set(member, group.id);
            }
        }
        return undefined;
    }

    /** While a group serves, no agent of it may be down longer than a lease, and its engines must be loaded for it. */
    private describeMissingMember(state: GroupsModelState): string | undefined {
        for (const id of Object.keys(state.vms)) {
            const { group } = state.vms[id];
            if (group === undefined || !this.canStart(state, id)) {
                continue;
            }
            for (const member of group.vms) {
                const { engineFencing, downSince } = state.vms[member];
                if (!isSameFencing(engineFencing, group.fencing)) {
                    return `${group.id} serves, but the engine of ${member} is not loaded for it`;
                }
                if (downSince !== undefined && state.now - downSince > TIMING.leaseMs) {
                    return `${group.id} serves, but the agent of ${member} has been down for ${
                        state.now - downSince
                    } ms`;
                }
            }
        }
        return undefined;
    }

    private describeSpreadGroup(state: GroupsModelState): string | undefined {
        for (const group of listGroups(state.control.configuration)) {
            const domains = new Set(group.vms.map(vm => this.options.domains[vm]));
            if (domains.size > 1) {
                return `${group.id} spans the fabric domains ${[...domains].join(" and ")}`;
            }
        }
        return undefined;
    }

    private startServing(state: GroupsModelState): GroupsModelState {
        const [head, member] = Object.keys(state.vms);
        let next = this.formGroup({ ...state, formationsLeft: state.formationsLeft + 1 }, [head, member]);
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

/** A VM that is free in control's state must have no loaded engine. */
function describeBusyFreeVm(state: GroupsModelState): string | undefined {
    for (const [id, vm] of Object.entries(state.vms)) {
        if (getVm(state.control.configuration, id)?.state === VmState.Free && vm.engineFencing !== undefined) {
            return `${id} is free, but its engine is still loaded`;
        }
    }
    return undefined;
}
