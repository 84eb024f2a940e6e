import type {
    Command,
    CommandResult,
    ConfigurationValue,
    ConfirmLoadCommand,
    ConfirmReleaseCommand,
    DrainCommand,
    FencingNumber,
    FormGroupCommand,
    LoseVmCommand,
    PublishCommand,
    RegisterVmCommand,
    ReleaseQuarantineCommand,
    ReplicaGroup,
    ReportCrashCommand,
    VmRecord,
} from "@kumquathall/types";
import { GroupState, VmState } from "@kumquathall/types";
import { compactMap, writeEntry } from "@kumquathall/versioned-map";
import { isDeepStrictEqual } from "node:util";
import { auditChange } from "./audit.js";
import { compareFencing, isSameFencing } from "./fencing.js";
import { applyLedgerAbandon, applyLedgerAnswer, applyLedgerBegin, parseKeyTime } from "./ledger.js";
import {
    formatDrainKey,
    formatGroupKey,
    formatServiceKey,
    formatSuspectKey,
    formatVmKey,
    formatWarmth,
    getGroup,
    getService,
    getVm,
    isVmDraining,
} from "./lookup.js";
import { advanceMeasures } from "./measures.js";
import type { ControlState } from "./state.js";

/** Place of the command in the log, and the guard that a model-checking mutant switches off. */
export interface ApplyOptions {
    index: number;
    term: number;
    disabledGuard?: string;
}

export interface ApplyResult {
    state: ControlState;
    result: CommandResult;
}

/** Crashes with the same request in flight after which the request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;

/** Applies one committed command. Pure: every member computes the same state and result. */
export function applyCommand(state: ControlState, command: Command, options: ApplyOptions): ApplyResult {
    const changeId = "changeId" in command ? command.changeId : undefined;
    const earlier = changeId === undefined ? undefined : state.changes.get(changeId);
    if (earlier !== undefined && options.disabledGuard !== "changeIdAnswer") {
        return { state, result: earlier };
    }
    const isLedger = command.kind.startsWith("ledger");
    const timed = isLedger ? state : { ...state, measures: advanceMeasures(state, command.at) };
    const applied = dispatchCommand(timed, command, options);
    if (changeId === undefined) {
        return applied;
    }
    return { ...applied, state: { ...applied.state, changes: applied.state.changes.set(changeId, applied.result) } };
}

function dispatchCommand(state: ControlState, command: Command, options: ApplyOptions): ApplyResult {
    switch (command.kind) {
        case "publish":
            return applyPublish(state, command, options);
        case "registerVm":
            return applyRegisterVm(state, command, options);
        case "loseVm":
            return applyLoseVm(state, command, options);
        case "formGroup":
            return applyFormGroup(state, command, options);
        case "confirmLoad":
            return applyConfirmLoad(state, command, options);
        case "drainGroup":
            return applyDrainGroup(state, command.groupId, command.reason, options);
        case "releaseGroup":
            return applyReleaseGroup(state, command.groupId, command.reason, options);
        case "confirmRelease":
            return applyConfirmRelease(state, command, options);
        case "drain":
        case "undrain":
            return applyDrain(state, command, options);
        case "ledgerBegin":
            return applyLedgerBegin(state, command, options.index, options.disabledGuard);
        case "ledgerAnswer":
            return applyLedgerAnswer(state, command, options.index);
        case "ledgerAbandon":
            return applyLedgerAbandon(state, command, options.index);
        case "reportCrash":
            return applyReportCrash(state, command, options);
        case "clearSuspects":
            return applyClearSuspects(state, command.fingerprints, options);
        case "releaseQuarantine":
            return applyReleaseQuarantine(state, command, options);
        case "raiseSafePoint":
            return applySafePoint(state, command.revision, command.ledgerTimeMs, options);
    }
}

function accept(state: ControlState, index: number): ApplyResult {
    return { state, result: { kind: "accepted", revision: index } };
}

function refuse(
    state: ControlState,
    code: Extract<CommandResult, { kind: "refused" }>["code"],
    message: string,
): ApplyResult {
    return { state, result: { kind: "refused", code, message } };
}

function write(state: ControlState, key: string, index: number, value: ConfigurationValue | undefined): ControlState {
    return { ...state, configuration: writeEntry(state.configuration, key, index, value) };
}

function writeGroup(state: ControlState, group: ReplicaGroup, index: number): ControlState {
    return write(state, formatGroupKey(group.id), index, { kind: "group", group });
}

function writeVm(state: ControlState, vm: VmRecord, index: number): ControlState {
    return write(state, formatVmKey(vm.id), index, { kind: "vm", vm });
}

function applyPublish(state: ControlState, command: PublishCommand, options: ApplyOptions): ApplyResult {
    const { definition } = command;
    const current = getService(state.configuration, definition.institution, definition.service);
    const conflict = describeConflict(command, current, options);
    const subject = `${definition.institution}/${definition.service}`;
    const audited = auditChange(state, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId,
        action: "publish",
        subject,
        accepted: conflict === undefined,
        before: current === undefined ? "none" : `version ${current.version}`,
        after: conflict ?? `version ${definition.version}`,
    });
    if (conflict !== undefined) {
        return {
            state: audited,
            result: { kind: "refused", code: "version-conflict", message: conflict, winner: current },
        };
    }
    const key = formatServiceKey(definition.institution, definition.service);
    return accept(write(audited, key, options.index, { kind: "service", service: definition }), options.index);
}

function describeConflict(
    command: PublishCommand,
    current: PublishCommand["definition"] | undefined,
    options: ApplyOptions,
): string | undefined {
    const { definition, baseVersion } = command;
    if (current === undefined || options.disabledGuard === "publishCompareAndSet") {
        return undefined;
    }
    if (isDeepStrictEqual(current, definition)) {
        return undefined;
    }
    if (definition.version === current.version) {
        return `version ${definition.version} is already in force with different content; raise "version" above it`;
    }
    if (definition.version < current.version) {
        return `version ${definition.version} is older than version ${current.version} in force`;
    }
    if (baseVersion !== current.version) {
        return `the plan was made against version ${baseVersion}, but version ${current.version} is in force; publish again`;
    }
    return undefined;
}

/** A new incarnation of a VM: whatever it ran before must be confirmed released before it can be assigned again. */
function applyRegisterVm(state: ControlState, command: RegisterVmCommand, options: ApplyOptions): ApplyResult {
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
        return accept(writeVm(state, record, options.index), options.index);
    }
    if (known.incarnation === incarnation) {
        const isUnchanged = known.present && isDeepStrictEqual(known.attributes, attributes);
        return accept(
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
    return accept(writeVm(released, record, options.index), options.index);
}

function applyLoseVm(state: ControlState, command: LoseVmCommand, options: ApplyOptions): ApplyResult {
    const known = getVm(state.configuration, command.vm);
    if (known === undefined || known.incarnation !== command.incarnation || !known.present) {
        return refuse(state, "stale", `${command.vm} is not present with incarnation ${command.incarnation}`);
    }
    const released = releaseVm(state, known, `${command.vm} was lost`, options);
    const current = getVm(released.configuration, command.vm) ?? known;
    return accept(writeVm(released, { ...current, present: false }, options.index), options.index);
}

/** Ends the group of a VM that is gone. */
function releaseVm(state: ControlState, vm: VmRecord, reason: string, options: ApplyOptions): ControlState {
    if (vm.state !== VmState.Assigned || vm.groupId === undefined) {
        return state;
    }
    return applyReleaseGroup(state, vm.groupId, reason, options).state;
}

function applyFormGroup(state: ControlState, command: FormGroupCommand, options: ApplyOptions): ApplyResult {
    const problem = describeFormProblem(state, command, options);
    if (problem !== undefined) {
        return refuse(state, "stale", problem);
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
    return accept(next, options.index);
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

function applyConfirmLoad(state: ControlState, command: ConfirmLoadCommand, options: ApplyOptions): ApplyResult {
    const group = getGroup(state.configuration, command.groupId);
    const vm = getVm(state.configuration, command.vm);
    const isMember = group !== undefined && group.vms.includes(command.vm)
        && isSameFencing(group.fencing, command.fencing);
    if (
        !isMember || group.state !== GroupState.Loading || vm === undefined || vm.incarnation !== command.incarnation
        || !vm.present
    ) {
        return refuse(state, "stale", `${command.vm} is not loading for group ${command.groupId} under this number`);
    }
    const loadedVms = group.loadedVms.includes(command.vm) ? group.loadedVms : [...group.loadedVms, command.vm];
    const isWhole = loadedVms.length === group.vms.length || options.disabledGuard === "serveOnlyWhole";
    return accept(
        writeGroup(state, { ...group, loadedVms, state: isWhole ? GroupState.Serving : group.state }, options.index),
        options.index,
    );
}

function applyDrainGroup(state: ControlState, groupId: string, reason: string, options: ApplyOptions): ApplyResult {
    const group = getGroup(state.configuration, groupId);
    if (group === undefined) {
        return refuse(state, "not-found", `no group ${groupId}`);
    }
    if (group.state === GroupState.Loading) {
        return applyReleaseGroup(state, groupId, reason, options);
    }
    if (group.state !== GroupState.Serving) {
        return refuse(state, "stale", `group ${groupId} is ${group.state}`);
    }
    return accept(writeGroup(state, { ...group, state: GroupState.Draining, reason }, options.index), options.index);
}

/** Every member gets a new fencing number and must confirm under it before its VM is free. */
function applyReleaseGroup(state: ControlState, groupId: string, reason: string, options: ApplyOptions): ApplyResult {
    const group = getGroup(state.configuration, groupId);
    if (group === undefined) {
        return refuse(state, "not-found", `no group ${groupId}`);
    }
    if (group.state === GroupState.Releasing) {
        return accept(state, options.index);
    }
    const fencing = { term: options.term, index: options.index };
    let next = writeGroup(state, { ...group, state: GroupState.Releasing, reason, fencing }, options.index);
    for (const id of group.vms) {
        const vm = getVm(next.configuration, id);
        if (vm !== undefined && vm.groupId === groupId) {
            const isFreeAtOnce = options.disabledGuard === "freeOnlyAfterConfirm";
            const warmFor = formatWarmth(group.institution, group.service, group.serviceVersion);
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
    return accept(next, options.index);
}

function applyConfirmRelease(state: ControlState, command: ConfirmReleaseCommand, options: ApplyOptions): ApplyResult {
    const vm = getVm(state.configuration, command.vm);
    if (
        vm === undefined
        || (vm.incarnation !== command.incarnation && options.disabledGuard !== "confirmOwnIncarnation")
    ) {
        return refuse(state, "stale", `${command.vm} has another incarnation`);
    }
    const isCurrent = compareFencing(command.fencing, vm.fencing) >= 0
        || options.disabledGuard === "confirmNewestNumber";
    if (vm.state !== VmState.Releasing || !isCurrent) {
        return refuse(state, "stale", `${command.vm} was given a newer order`);
    }
    const freed = writeVm(state, { ...vm, state: VmState.Free, groupId: undefined }, options.index);
    return accept(removeEmptyGroup(freed, vm.groupId, options.index), options.index);
}

/** Removes a released group once none of its VMs still has to confirm. */
function removeEmptyGroup(state: ControlState, groupId: string | undefined, index: number): ControlState {
    const group = groupId === undefined ? undefined : getGroup(state.configuration, groupId);
    if (group === undefined || group.state !== GroupState.Releasing) {
        return state;
    }
    const isAnyLeft = group.vms.some(id => getVm(state.configuration, id)?.groupId === groupId);
    return isAnyLeft ? state : write(state, formatGroupKey(group.id), index, undefined);
}

function applyDrain(state: ControlState, command: DrainCommand, options: ApplyOptions): ApplyResult {
    const key = formatDrainKey(command.target, command.name);
    const isInForce = state.configuration.entries.get(key)?.value !== undefined;
    const isStart = command.kind === "drain";
    const drain = { kind: command.target, name: command.name, operator: command.operator };
    const next = isInForce === isStart
        ? state
        : write(state, key, options.index, isStart ? { kind: "drain", drain } : undefined);
    const audited = auditChange(next, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId,
        action: command.kind,
        subject: `${command.target} ${command.name}`,
        accepted: true,
        before: isInForce ? "draining" : "in use",
        after: isStart ? "draining" : "in use",
    });
    return accept(audited, options.index);
}

function applyReportCrash(state: ControlState, command: ReportCrashCommand, options: ApplyOptions): ApplyResult {
    let next = state;
    const crash = `${command.vm}/${command.incarnation}/${command.at}`;
    for (const fingerprint of command.fingerprints) {
        const key = formatSuspectKey(fingerprint);
        const value = next.configuration.entries.get(key)?.value;
        const known = value?.kind === "suspect" ? value.suspect : undefined;
        const crashes = [...(known?.crashes ?? []).filter(item => item !== crash), crash];
        const suspect = {
            fingerprint,
            service: command.service,
            crashes,
            quarantined: crashes.length >= CRASHES_TO_QUARANTINE,
        };
        next = write(next, key, options.index, { kind: "suspect", suspect });
    }
    return accept(next, options.index);
}

function applyClearSuspects(state: ControlState, fingerprints: string[], options: ApplyOptions): ApplyResult {
    let next = state;
    for (const fingerprint of fingerprints) {
        const key = formatSuspectKey(fingerprint);
        const value = next.configuration.entries.get(key)?.value;
        if (value?.kind === "suspect" && !value.suspect.quarantined) {
            next = write(next, key, options.index, undefined);
        }
    }
    return accept(next, options.index);
}

function applyReleaseQuarantine(
    state: ControlState,
    command: ReleaseQuarantineCommand,
    options: ApplyOptions,
): ApplyResult {
    const key = formatSuspectKey(command.fingerprint);
    const isKnown = state.configuration.entries.get(key)?.value !== undefined;
    const audited = auditChange(state, {
        index: options.index,
        at: command.at,
        operator: command.operator,
        changeId: command.changeId,
        action: "release-quarantine",
        subject: command.fingerprint,
        accepted: isKnown,
        before: isKnown ? "quarantined" : "unknown",
        after: isKnown ? "released" : "no such fingerprint",
    });
    if (!isKnown) {
        return refuse(audited, "not-found", `no suspect with fingerprint ${command.fingerprint}`);
    }
    return accept(write(audited, key, options.index, undefined), options.index);
}

/** Forgets what no reader needs any more. Lower safe points change nothing. */
function applySafePoint(
    state: ControlState,
    revision: number,
    ledgerTimeMs: number,
    options: ApplyOptions,
): ApplyResult {
    const configuration = compactMap(state.configuration, revision);
    if (ledgerTimeMs <= state.ledgerTimeMs) {
        return accept({ ...state, configuration }, options.index);
    }
    const ledger = state.ledger.filter((entry, key) => !isForgettable(key, entry.answer !== undefined, ledgerTimeMs));
    return accept({ ...state, configuration, ledger, ledgerTimeMs }, options.index);
}

/** A key without a time is kept for good; one that is not answered is kept, since its request may still run. */
function isForgettable(key: string, isAnswered: boolean, ledgerTimeMs: number): boolean {
    const time = parseKeyTime(key) ?? Number.POSITIVE_INFINITY;
    return isAnswered && time < ledgerTimeMs;
}
