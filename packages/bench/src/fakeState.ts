import { applyCommand, type ControlState, createControlState, getVm } from "@kumquathall/control-state";
import { planGroups, type PlannerOptions } from "@kumquathall/planner";
import type { Command, ServiceDefinition } from "@kumquathall/types";

const AT = "2026-01-01T00:00:00.000Z";

/** Size of a generated state. */
export interface FakeStateOptions {
    vms: number;
    vmsPerGroup: number;
    vmsPerDomain: number;
    services: number;
    /** Share of all VMs that are members of groups. */
    usedShare: number;
}

/** Control's replicated state and its log index, without consensus: commands are applied directly. */
export class FakeControl {
    state: ControlState = createControlState();
    index = 0;
    private nextGroup = 1;

    apply(command: Command): ReturnType<typeof applyCommand>["result"] {
        this.index++;
        const applied = applyCommand(this.state, command, { index: this.index, term: 1 });
        this.state = applied.state;
        return applied.result;
    }

    /** Plans all groups once, applies the plan and returns its commands. */
    plan(at: string, options: PlannerOptions = {}): Command[] {
        const commands = planGroups({
            configuration: this.state.configuration,
            at,
            createGroupId: () => `g${this.nextGroup++}`,
            options,
        });
        commands.forEach(command => this.apply(command));
        return commands;
    }

    /** Registers a VM and confirms its release, so that it is free. */
    addVm(vm: string, domain: string, dataCentre: string, at: string = AT): void {
        const attributes = {
            dataCentre,
            fabricDomain: domain,
            accelerators: 2,
            kind: "model" as const,
            fencing: "enforced" as const,
            address: "127.0.0.1:1",
        };
        this.apply({ kind: "registerVm", vm, incarnation: "1", attributes, at });
        this.confirmRelease(vm, at);
    }

    /** Confirms the release of a VM under its current fencing number, as its agent would. */
    confirmRelease(vm: string, at: string = AT): void {
        const record = getVm(this.state.configuration, vm);
        if (record !== undefined) {
            this.apply({ kind: "confirmRelease", vm, incarnation: record.incarnation, fencing: record.fencing, at });
        }
    }
}

/** Builds the definition of a service with a number of groups of a given size. */
export function buildFakeService(
    number: number,
    groups: number,
    vmsPerGroup: number,
    institution: string,
): ServiceDefinition {
    return {
        institution,
        service: `service-${number}`,
        version: 1,
        kind: "model",
        models: [{ name: `model-${number}`, version: "1", adapters: ["a", "b"] }],
        replicaGroup: { vms: vmsPerGroup, acceleratorsPerVm: 2 },
        capacity: { groups, concurrentRequests: 1000, requestsPerSecond: 1000 },
        objective: { groupDowntime: 1, strandedAccelerators: 1 },
        deadlineMs: 30_000,
        accounts: Array.from(
            { length: 10 },
            (_, at) => ({ name: `account-${at}`, keyDigest: "0".repeat(64), weight: 1, priority: 5 }),
        ),
        requests: [],
    };
}

/** Builds a state with VMs in fabric domains, services, and groups that all serve. */
export function buildFakeState(options: FakeStateOptions): FakeControl {
    const control = new FakeControl();
    for (let at = 0; at < options.vms; at++) {
        const domain = Math.floor(at / options.vmsPerDomain);
        control.addVm(`vm-${at}`, `domain-${domain}`, `data-centre-${domain % 9}`);
    }
    const groups = Math.floor(options.vms * options.usedShare / options.vmsPerGroup / options.services);
    for (let number = 0; number < options.services; number++) {
        const definition = buildFakeService(number, groups, options.vmsPerGroup, "institution");
        control.apply({ kind: "publish", changeId: `c${number}`, operator: "o", at: AT, baseVersion: 0, definition });
    }
    const planned = control.plan(AT, { maxLoadingGroups: Number.MAX_SAFE_INTEGER });
    for (const command of planned) {
        if (command.kind === "formGroup") {
            confirmAllLoads(control, command.groupId, command.vms, AT);
        }
    }
    return control;
}

/** Confirms the loads of members of a group, as their agents would. */
export function confirmAllLoads(control: FakeControl, groupId: string, vms: string[], at: string): void {
    for (const vm of vms) {
        const record = getVm(control.state.configuration, vm);
        if (record !== undefined) {
            control.apply({
                kind: "confirmLoad",
                groupId,
                vm,
                incarnation: record.incarnation,
                fencing: record.fencing,
                at,
            });
        }
    }
}
