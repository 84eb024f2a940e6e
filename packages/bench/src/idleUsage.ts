import { DEMO_ENDPOINTS } from "@kumquathall/local-cluster";
import { startBenchSystem } from "./benchProcesses.js";
import { buildBenchService } from "./benchService.js";
import { readUsage } from "./processUsage.js";
import { computeMedian } from "./statistics.js";

/** Usage of the processes of one role while no request is served, so that all of it is control overhead. */
export interface IdleUsage {
    role: "control" | "entry" | "agent";
    processes: number;
    /** Share of a core. */
    cpuShare: number;
    residentBytes: number;
}

const SETTLE_MS = 4000;
const MEASURE_MS = 10_000;

/** Runs a small system without load and measures the usage of its processes. */
export async function measureIdleUsage(print: (line: string) => void): Promise<IdleUsage[]> {
    const system = await startBenchSystem({
        endpoints: DEMO_ENDPOINTS.filter(endpoint => endpoint.kind === "model"),
        entries: 2,
        controlMembers: 3,
        engine: { stepMs: 10, loadMs: 0 },
        services: {
            idle: buildBenchService({ groups: 2, vmsPerGroup: 2, concurrentRequests: 100, requestsPerSecond: 100 }),
        },
        groups: 2,
    });
    try {
        await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
        const { plan, cluster } = system;
        const roles = [["control", plan.control], ["entry", plan.entries], ["agent", plan.agents]] as const;
        const read = () => roles.map(([, settings]) => settings.map(item => readUsage(cluster.getPid(item.id) ?? 0)));
        const before = read();
        await new Promise(resolve => setTimeout(resolve, MEASURE_MS));
        const after = read();
        return roles.map(([role, settings], at) => {
            const cpuShare = computeMedian(
                after[at].map((usage, index) => (usage.cpuMs - before[at][index].cpuMs) / MEASURE_MS),
            );
            const residentBytes = computeMedian(after[at].map(usage => usage.residentBytes));
            print(
                `${role} without load: ${(cpuShare * 100).toFixed(2)}% of a core, ${
                    (residentBytes / 2 ** 20).toFixed(0)
                } MiB resident (median of ${settings.length})`,
            );
            return { role, processes: settings.length, cpuShare, residentBytes };
        });
    }
    finally {
        await system.close();
    }
}
