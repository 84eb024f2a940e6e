import type { DaemonSettings } from "@kumquathall/kernel";
import { createHash } from "node:crypto";
import { join } from "node:path";

/** Keys of the example services' accounts. Their digests stand in the example files. */
export const DEMO_KEYS = { cantora: "demo-key-cantora", nadrozmer: "demo-key-nadrozmer" } as const;
/** Key of the operator of a demonstration system. */
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
    /** Folder for the control members' data. */
    folder: string;
    /** Free loopback ports: three for each control member and entry, two for each endpoint. */
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

/** Settings of every process of a demonstration system. */
export interface ClusterPlan {
    control: DaemonSettings[];
    entries: DaemonSettings[];
    agents: DaemonSettings[];
    entryUrls: string[];
    operationsUrls: string[];
}

const DATA_CENTRES = ["quito-a", "quito-b", "ibarra-c"] as const;

/** Builds settings for a system on loopback. Pure but for the ports and folder it is given. */
export function buildClusterPlan(options: ClusterPlanOptions): ClusterPlan {
    const ports = [...options.ports];
    const takeAddress = () => `127.0.0.1:${ports.shift() ?? 0}`;
    const members = Array.from(
        { length: options.controlMembers ?? 3 },
        (_, at) => ({ id: `control-${at + 1}`, address: takeAddress() }),
    );
    const common = {
        cluster: "demo",
        region: "sierra-norte",
        controlGroup: "sierra-norte",
        logLevel: options.logLevel ?? "warn",
        tls: options.tls,
    };
    const buildDaemon = (id: string, at: number, roles: DaemonSettings["roles"], dataCentre?: string): DaemonSettings =>
        removeUndefined({
            ...common,
            id,
            dataCentre: dataCentre ?? DATA_CENTRES[at % DATA_CENTRES.length],
            operations: takeAddress(),
            roles,
        });
    const control = members.map((member, at) =>
        buildDaemon(member.id, at, {
            control: {
                listen: member.address,
                dataFolder: join(options.folder, member.id),
                members,
                decisionIntervalMs: options.decisionIntervalMs ?? 100,
                lostAfterMs: 3000,
            },
        })
    );
    const entryLinks = Array.from(
        { length: options.entries ?? 2 },
        () => ({ http: takeAddress(), listen: takeAddress() }),
    );
    const operators = [{
        name: "demo",
        keyDigest: createHash("sha256").update(DEMO_OPERATOR_KEY).digest("hex"),
        rights: ["read", "publish", "drain"],
    }];
    const entries = entryLinks.map((link, at) =>
        buildDaemon(`entry-${at + 1}`, at, {
            entry: {
                ...link,
                control: members,
                operators,
                stopGraceMs: options.stopGraceMs ?? 500,
                routingPolicy: options.routingPolicy ?? "prefix-affinity",
            },
        })
    );
    const agents = options.endpoints.map((endpoint, at) =>
        buildDaemon(`agent-${endpoint.vm}`, at, {
            agent: {
                vm: endpoint.vm,
                fabricDomain: endpoint.fabricDomain,
                accelerators: endpoint.accelerators,
                listen: takeAddress(),
                entries: entryLinks.map(link => link.listen),
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
    return { control, entries, agents, entryUrls: entryLinks.map(link => `http://${link.http}`), operationsUrls };
}

function removeUndefined<Value extends object>(value: Value): Value {
    return Object.fromEntries(Object.entries(value).filter(([, item]) => item !== undefined)) as Value;
}
