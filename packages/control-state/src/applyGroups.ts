import {
    type ConfirmLoadCommand,
    type ConfirmReleaseCommand,
    type FencingNumber,
    type FormGroupCommand,
    GroupState,
    type LoseVmCommand,
    type RegisterVmCommand,
    type ReplicaGroup,
    type VmRecord,
    VmState,
} from "@kumquathall/types";
import { isDeepStrictEqual } from "node:util";
import {
    acceptCommand,
    type ApplyOptions,
    type ApplyResult,
    refuseCommand,
    writeConfiguration,
} from "./applyResult.js";
import { compareFencing, isSameFencing } from "./fencing.js";
import { formatGroupKey, formatServiceVersion, formatVmKey, getGroup, getVm, isVmDraining } from "./lookup.js";
import type { ControlState } from "./state.js";

function writeGroup(state: ControlState, group: ReplicaGroup, index: number): ControlState {
    return writeConfiguration(state, formatGroupKey(group.id), index, { kind: "group", group });
}

function writeVm(state: ControlState, vm: VmRecord, index: number): ControlState {
    return writeConfiguration(state, formatVmKey(vm.id), index, { kind: "vm", vm });
}

/**
 * Registers a VM or a new incarnation of it. Either can be assigned only after its agent has confirmed that what ran on
 * the VM before is released.
 */
export function applyRegisterVm(state: ControlState, command: RegisterVmCommand, options: ApplyOptions): ApplyResult {
    const known = getVm(state.configuration, command.vm);
    const { incarnation, attributes } = command;
    if (known === undefined) {
        const fencing = { term: options.term, index: options.index };
        const record: VmRecord = {
            id: command.vm,
            incarnation,
            attributes,
            state: VmState.Releasing,
            fencing,
            present: true,
        };
        return acceptCommand(writeVm(state, record, options.index), options.index);
    }
    if (known.incarnation === incarnation) {
        const isUnchanged = known.present && isDeepStrictEqual(known.attributes, attributes);
        return acceptCommand(
            isUnchanged ? state : writeVm(state, { ...known, attributes, present: true }, options.index),
            options.index,
        );
    }
    const released = releaseVm(state, known, "its agent restarted", options);
    const current = getVm(released.configuration, command.vm) ?? known;
    const record = {
        ...current,
        incarnation,
        attributes,
        present: true,
        state: VmState.Releasing,
        warmFor: undefined,
        fencing: { term: options.term, index: options.index },
    };
    return acceptCommand(writeVm(released, record, options.index), options.index);
}

/** Marks the VM as not present and releases its group, if the lost incarnation is still the current one. */
export function applyLoseVm(state: ControlState, command: LoseVmCommand, options: ApplyOptions): ApplyResult {
    const known = getVm(state.configuration, command.vm);
    if (known === undefined || known.incarnation !== command.incarnation || !known.present) {
        return refuseCommand(state, "stale", `${command.vm} is not present with incarnation ${command.incarnation}`);
    }
    const released = releaseVm(state, known, `${command.vm} was lost`, options);
    const current = getVm(released.configuration, command.vm) ?? known;
    return acceptCommand(writeVm(released, { ...current, present: false }, options.index), options.index);
}

/** Releases the group to which a VM is assigned, if any. */
function releaseVm(state: ControlState, vm: VmRecord, reason: string, options: ApplyOptions): ControlState {
    if (vm.state !== VmState.Assigned || vm.groupId === undefined) {
        return state;
    }
    return applyReleaseGroup(state, vm.groupId, reason, options).state;
}

/** Assigns free VMs of one fabric domain to a new group, under a new fencing number. */
export function applyFormGroup(state: ControlState, command: FormGroupCommand, options: ApplyOptions): ApplyResult {
    const problem = describeFormProblem(state, command, options);
    if (problem !== undefined) {
        return refuseCommand(state, "stale", problem);
    }
    const fencing: FencingNumber = { term: options.term, index: options.index };
    const group: ReplicaGroup = {
        id: command.groupId,
        institution: command.institution,
        service: command.service,
        serviceVersion: command.serviceVersion,
        vms: command.vms,
        models: command.models,
        state: GroupState.Loading,
        fencing,
        loadedVms: [],
    };
    let next = writeGroup(state, group, options.index);
    for (const id of command.vms) {
        const vm = getVm(next.configuration, id);
        if (vm !== undefined) {
            next = writeVm(next, { ...vm, state: VmState.Assigned, groupId: command.groupId, fencing }, options.index);
        }
    }
    return acceptCommand(next, options.index);
}

function describeFormProblem(
    state: ControlState,
    command: FormGroupCommand,
    options: ApplyOptions,
): string | undefined {
    const { configuration } = state;
    if (getGroup(configuration, command.groupId) !== undefined) {
        return `group ${command.groupId} exists`;
    }
    if (command.vms.length === 0 || new Set(command.vms).size !== command.vms.length) {
        return "a group needs distinct VMs";
    }
    const vms = command.vms.map(id => getVm(configuration, id));
    for (const [at, vm] of vms.entries()) {
        if (vm === undefined || !vm.present) {
            return `${command.vms[at]} is not present`;
        }
        if (vm.state !== VmState.Free && options.disabledGuard !== "assignOnlyFree") {
            return `${vm.id} is ${vm.state}`;
        }
        if (isVmDraining(configuration, vm)) {
            return `${vm.id} is being drained`;
        }
    }
    const domains = new Set(vms.map(vm => vm?.attributes.fabricDomain));
    return domains.size > 1 && options.disabledGuard !== "oneFabricDomain"
        ? "the VMs lie in different fabric domains"
        : undefined;
}

/** Records that a member has loaded its engine; the group serves once all members have. */
export function applyConfirmLoad(state: ControlState, command: ConfirmLoadCommand, options: ApplyOptions): ApplyResult {
    const group = getGroup(state.configuration, command.groupId);
    const vm = getVm(state.configuration, command.vm);
    const isMember = group !== undefined && group.vms.includes(command.vm)
        && isSameFencing(group.fencing, command.fencing);
    if (
        !isMember || group.state !== GroupState.Loading || vm === undefined || vm.incarnation !== command.incarnation
        || !vm.present
    ) {
        return refuseCommand(
            state,
            "stale",
            `${command.vm} is not loading for group ${command.groupId} under this fencing number`,
        );
    }
    const loadedVms = group.loadedVms.includes(command.vm) ? group.loadedVms : [...group.loadedVms, command.vm];
    const isWhole = loadedVms.length === group.vms.length || options.disabledGuard === "serveOnlyWhole";
    return acceptCommand(
        writeGroup(state, { ...group, loadedVms, state: isWhole ? GroupState.Serving : group.state }, options.index),
        options.index,
    );
}

/** Stops new requests to a serving group. A group that is still loading is released instead. */
export function applyDrainGroup(
    state: ControlState,
    groupId: string,
    reason: string,
    options: ApplyOptions,
): ApplyResult {
    const group = getGroup(state.configuration, groupId);
    if (group === undefined) {
        return refuseCommand(state, "not-found", `no group ${groupId}`);
    }
    if (group.state === GroupState.Loading) {
        return applyReleaseGroup(state, groupId, reason, options);
    }
    if (group.state !== GroupState.Serving) {
        return refuseCommand(state, "stale", `group ${groupId} is ${group.state}`);
    }
    return acceptCommand(
        writeGroup(state, { ...group, state: GroupState.Draining, reason }, options.index),
        options.index,
    );
}

/** Releases a group. Each member gets a new fencing number and must confirm under it before its VM is free. */
export function applyReleaseGroup(
    state: ControlState,
    groupId: string,
    reason: string,
    options: ApplyOptions,
): ApplyResult {
    const group = getGroup(state.configuration, groupId);
    if (group === undefined) {
        return refuseCommand(state, "not-found", `no group ${groupId}`);
    }
    if (group.state === GroupState.Releasing) {
        return acceptCommand(state, options.index);
    }
    const fencing = { term: options.term, index: options.index };
    let next = writeGroup(state, { ...group, state: GroupState.Releasing, reason, fencing }, options.index);
    for (const id of group.vms) {
        const vm = getVm(next.configuration, id);
        if (vm !== undefined && vm.groupId === groupId) {
            const isFreeAtOnce = options.disabledGuard === "freeOnlyAfterConfirm";
            const warmFor = formatServiceVersion(group.institution, group.service, group.serviceVersion);
            const record = {
                ...vm,
                state: isFreeAtOnce ? VmState.Free : VmState.Releasing,
                fencing,
                groupId: isFreeAtOnce ? undefined : groupId,
                warmFor,
            };
            next = writeVm(next, record, options.index);
        }
    }
    return acceptCommand(next, options.index);
}

/** Frees a VM once its own agent has confirmed the release. */
export function applyConfirmRelease(
    state: ControlState,
    command: ConfirmReleaseCommand,
    options: ApplyOptions,
): ApplyResult {
    const vm = getVm(state.configuration, command.vm);
    if (
        vm === undefined
        || (vm.incarnation !== command.incarnation && options.disabledGuard !== "confirmOwnIncarnation")
    ) {
        return refuseCommand(state, "stale", `${command.vm} has another incarnation`);
    }
    const isCurrent = compareFencing(command.fencing, vm.fencing) >= 0
        || options.disabledGuard === "confirmNewestNumber";
    if (vm.state !== VmState.Releasing || !isCurrent) {
        return refuseCommand(state, "stale", `${command.vm} is not releasing, or has a newer fencing number`);
    }
    const freed = writeVm(state, { ...vm, state: VmState.Free, groupId: undefined }, options.index);
    return acceptCommand(removeEmptyGroup(freed, vm.groupId, options.index), options.index);
}

/** Removes a released group once all of its VMs have confirmed the release. */
function removeEmptyGroup(state: ControlState, groupId: string | undefined, index: number): ControlState {
    const group = groupId === undefined ? undefined : getGroup(state.configuration, groupId);
    if (group === undefined || group.state !== GroupState.Releasing) {
        return state;
    }
    const isAnyLeft = group.vms.some(id => getVm(state.configuration, id)?.groupId === groupId);
    return isAnyLeft ? state : writeConfiguration(state, formatGroupKey(group.id), index, undefined);
}
