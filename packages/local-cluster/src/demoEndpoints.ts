import type { PlannedEndpoint } from "./clusterPlan.js";

function buildModelVm(
    vm: string,
    dataCentre: string,
    fabricDomain: string,
    fencing: PlannedEndpoint["fencing"] = "enforced",
): PlannedEndpoint {
    return { vm, dataCentre, fabricDomain, accelerators: 2, kind: "model", fencing };
}

function buildPlainVm(vm: string, dataCentre: string, service: string): PlannedEndpoint {
    return {
        vm,
        dataCentre,
        fabricDomain: `${dataCentre}-plain`,
        accelerators: 0,
        kind: "plain",
        fencing: "ignored",
        service,
    };
}

/** Endpoints of a demonstration: seven model VMs and three VMs with a plain service, in three data centres. */
export const DEMO_ENDPOINTS: PlannedEndpoint[] = [
    buildModelVm("model-1", "quito-a", "quito-a-1"),
    buildModelVm("model-2", "quito-a", "quito-a-1"),
    buildModelVm("model-3", "quito-b", "quito-b-1"),
    buildModelVm("model-4", "quito-b", "quito-b-1", "ignored"),
    buildModelVm("model-5", "quito-b", "quito-b-1"),
    buildModelVm("model-6", "ibarra-c", "ibarra-c-1"),
    buildModelVm("model-7", "ibarra-c", "ibarra-c-1"),
    buildPlainVm("orders-1", "quito-a", "cantora/orders"),
    buildPlainVm("orders-2", "quito-b", "cantora/orders"),
    buildPlainVm("filings-1", "ibarra-c", "nadrozmer/filings"),
];
