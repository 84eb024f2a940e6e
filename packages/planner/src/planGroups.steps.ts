import { Given, Then, When } from "@cucumber/cucumber";
import { applyCommand, type ControlState, createControlState, getVm, listGroups } from "@kumquathall/control-state";
import type { Command, ServiceDefinition } from "@kumquathall/types";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { planGroups } from "./planGroups.js";

const TIME = "2026-01-01T00:00:00.000Z";

let state: ControlState;
let index = 0;
let nextGroup = 1;
let planned: Command[] = [];

function apply(command: Command): void {
    index++;
    state = applyCommand(state, command, { index, term: 1 }).state;
}

function addVms(domain: string, count: number): void {
    for (let number = 0; number < count; number++) {
        const vm = `${domain}${number}`;
        const attributes = {
            dataCentre: "d",
            fabricDomain: domain,
            accelerators: 2,
            kind: "model" as const,
            fencing: "enforced" as const,
            address: "",
        };
        apply({ kind: "registerVm", vm, incarnation: "1", attributes, at: TIME });
        apply({ kind: "confirmRelease", vm, incarnation: "1", fencing: { term: 1, index }, at: TIME });
    }
}

function publish(service: string, groups: number, vms: number, strandedAccelerators: number): void {
    const definition: ServiceDefinition = {
        institution: "i",
        service,
        version: 1,
        kind: "model",
        models: [{ name: service, version: "1", adapters: [] }],
        replicaGroup: { vms, acceleratorsPerVm: 2 },
        capacity: { groups, concurrentRequests: 1, requestsPerSecond: 1 },
        objective: { groupDowntime: 1, strandedAccelerators },
        deadlineMs: 1000,
        accounts: [],
        requests: [],
    };
    apply({ kind: "publish", changeId: service, operator: "o", at: TIME, baseVersion: 0, definition });
}

function plan(): void {
    planned = planGroups({ configuration: state.configuration, at: TIME, createGroupId: () => `g${nextGroup++}` });
    planned.forEach(apply);
}

Given(
    "{int} free VMs in domain {string} and {int} in domain {string}",
    (first: number, firstDomain: string, second: number, secondDomain: string) => {
        state = createControlState();
        index = 0;
        addVms(firstDomain, first);
        addVms(secondDomain, second);
    },
);

Given(
    "a service {string} that declares {int} groups of {int} VMs",
    (service: string, groups: number, vms: number) => publish(service, groups, vms, 1),
);

Given(
    "a service {string} that declares {int} groups of {int} VMs and uses all surplus VMs",
    (service: string, groups: number, vms: number) => publish(service, groups, vms, 9),
);

When(
    "a service {string} declares {int} groups of {int} VMs",
    (service: string, groups: number, vms: number) => publish(service, groups, vms, 1),
);

When("groups are planned", plan);

When("groups are planned and start to serve", () => {
    plan();
    for (const group of listGroups(state.configuration)) {
        for (const vm of group.vms) {
            apply({ kind: "confirmLoad", groupId: group.id, vm, incarnation: "1", fencing: group.fencing, at: TIME });
        }
    }
});

Then("{int} groups are formed, each in one domain", (count: number) => {
    const groups = listGroups(state.configuration);
    strictEqual(groups.length, count);
    for (const group of groups) {
        strictEqual(new Set(group.vms.map(vm => getVm(state.configuration, vm)?.attributes.fabricDomain)).size, 1);
    }
});

Then("more than {int} group of {string} serves", (count: number, service: string) => {
    ok(
        listGroups(state.configuration).filter(group => group.service === service && group.state === "serving").length
            > count,
    );
});

Then("one group of {string} is drained, since another service lacks a declared group", (service: string) => {
    const drained = planned.filter(command => command.kind === "drainGroup");
    deepStrictEqual(drained.map(command => command.reason), ["another service lacks a declared group"]);
    strictEqual(
        listGroups(state.configuration).filter(group => group.service === service && group.state === "draining").length,
        1,
    );
});
