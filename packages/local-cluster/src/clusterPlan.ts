import type { DaemonSettings } from "@kumquathall/kernel";
import { createHash } from "node:crypto";
import { join } from "node:path";

/** API keys of the client accounts of the example services, whose service files hold the digests. */
export const DEMO_KEYS = { cantora: "demo-key-cantora", nadrozmer: "demo-key-nadrozmer" } as const;
/** API key of the operator of a demonstration system. */
export const DEMO_OPERATOR_KEY = "demo-key-operator";

/** One endpoint of a demonstration system. */
export interface PlannedEndpoint {
    vm: string;
    dataCentre: string;
    fabricDomain: string;
    accelerators: number;
    kind: "model" | "plain";
    fencing: "enforced" | "ignored";
    service?: string;
}

export interface ClusterPlanOptions {
    /** Parent of the data folders of the control members. */
    folder: string;
    /** Free loopback ports: three for each entry, two for each control member and endpoint. */
    ports: number[];
    controlMembers?: number;
    entries?: number;
    endpoints: PlannedEndpoint[];
    /** Engine URLs by VM. */
    engineUrls: ReadonlyMap<string, string>;
    logLevel?: DaemonSettings["logLevel"];
    stopGraceMs?: number;
    routingPolicy?: string;
    decisionIntervalMs?: number;
    tls?: DaemonSettings["tls"];
}

/** Settings and URLs of every process of a demonstration system. */
export interface ClusterPlan {
    control: DaemonSettings[];
    entries: DaemonSettings[];
    agents: DaemonSettings[];
    entryUrls: string[];
    operationsUrls: string[];
}

const DATA_CENTRES = ["quito-a", "quito-b", "ibarra-c"] as const;

/** Builds the settings of a system on loopback. Opens no ports and creates no folders. */
export function buildClusterPlan(options: ClusterPlanOptions): ClusterPlan {
    const ports = [...options.ports];
    const takeAddress = () => `127.0.0.1:${ports.shift() ?? 0}`;
    const members = Array.from(
        { length: options.controlMembers ?? 3 },
        (_, index) => ({ id: `control-${index + 1}`, address: takeAddress() }),
    );
    const common = {
        cluster: "demo",
        region: "sierra-norte",
        controlGroup: "sierra-norte",
        logLevel: options.logLevel ?? "warn",
        tls: options.tls,
    };
    const buildDaemon = (
        id: string,
        index: number,
        roles: DaemonSettings["roles"],
        dataCentre?: string,
    ): DaemonSettings =>
        removeUndefined({
            ...common,
            id,
            dataCentre: dataCentre ?? DATA_CENTRES[index % DATA_CENTRES.length],
            operations: takeAddress(),
            roles,
        });
    const control = members.map((member, index) =>
        buildDaemon(member.id, index, {
            control: {
                listen: member.address,
                dataFolder: join(options.folder, member.id),
                members,
                decisionIntervalMs: options.decisionIntervalMs ?? 100,
                lostAfterMs: 3000,
            },
        })
    );
    const entryAddresses = Array.from(
        { length: options.entries ?? 2 },
        () => ({ http: takeAddress(), listen: takeAddress() }),
    );
    const operators = [{
        name: "demo",
        keyDigest: createHash("sha256").update(DEMO_OPERATOR_KEY).digest("hex"),
        rights: ["read", "publish", "drain"],
    }];
    const entries = entryAddresses.map((addresses, index) =>
        buildDaemon(`entry-${index + 1}`, index, {
            entry: {
                ...addresses,
                control: members,
                operators,
                stopGraceMs: options.stopGraceMs ?? 500,
                routingPolicy: options.routingPolicy ?? "prefix-affinity",
            },
        })
    );
    const agents = options.endpoints.map((endpoint, index) =>
        buildDaemon(`agent-${endpoint.vm}`, index, {
            agent: {
                vm: endpoint.vm,
                fabricDomain: endpoint.fabricDomain,
                accelerators: endpoint.accelerators,
                listen: takeAddress(),
                entries: entryAddresses.map(addresses => addresses.listen),
                engine: removeUndefined({
                    kind: endpoint.kind,
                    url: options.engineUrls.get(endpoint.vm) ?? "",
                    fencing: endpoint.fencing,
                    service: endpoint.service,
                }),
            },
        }, endpoint.dataCentre)
    );
    const operationsUrls = [...control, ...entries, ...agents].map(settings => `http://${settings.operations}`);
    return {
        control,
        entries,
        agents,
        entryUrls: entryAddresses.map(addresses => `http://${addresses.http}`),
        operationsUrls,
    };
}

function removeUndefined<Value extends object>(value: Value): Value {
    return Object.fromEntries(Object.entries(value).filter(([, item]) => item !== undefined)) as Value;
}
