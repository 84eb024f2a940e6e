import { type LoadResult, measureClosedLoopThroughput, runLoadInWorkers } from "@kumquathall/load";
import { DEMO_KEYS } from "@kumquathall/local-cluster";
import { startBenchSystem } from "./benchProcesses.js";
import { buildBenchService } from "./benchService.js";
import { registerBench } from "./registry.js";
import { computeMedian } from "./statistics.js";

/** Bound on the latency that entry and agent add. */
const MAX_ADDED_P99_MS = 3;
/** Bound on the throughput of one entry and one agent. */
const MIN_REQUESTS_PER_SECOND = 4000;
const SATURATION_MS = 4000;
const LOAD_MS = 5000;
const CONCURRENCY = 64;
const SEEDS = [1, 2, 3];
const LOAD_WORKERS = 3;

registerBench({
    name: "overhead",
    target:
        `added p99 at half of saturation at most ${MAX_ADDED_P99_MS} ms; at least ${MIN_REQUESTS_PER_SECOND} short requests a second through one entry and one agent`,
    run: async print => {
        const system = await startBenchSystem({
            endpoints: [{
                vm: "m1",
                dataCentre: "quito-a",
                fabricDomain: "d",
                accelerators: 2,
                kind: "model",
                fencing: "enforced",
            }],
            entries: 1,
            controlMembers: 3,
            engine: { stepMs: 0, loadMs: 0 },
            services: {
                bench: buildBenchService({
                    groups: 1,
                    vmsPerGroup: 1,
                    concurrentRequests: 2000,
                    requestsPerSecond: 100_000,
                }),
            },
            groups: 1,
        });
        try {
            const throughUrl = system.plan.entryUrls[0];
            const directUrl = system.engineUrls.get("m1") ?? "";
            await measureClosedLoopThroughput({
                url: throughUrl,
                key: DEMO_KEYS.cantora,
                model: "m",
                concurrency: CONCURRENCY,
                durationMs: SATURATION_MS / 2,
            });
            const through = await measureClosedLoopThroughput({
                url: throughUrl,
                key: DEMO_KEYS.cantora,
                model: "m",
                concurrency: CONCURRENCY,
                durationMs: SATURATION_MS,
            });
            const direct = await measureClosedLoopThroughput({
                url: directUrl,
                key: "",
                model: "m",
                concurrency: CONCURRENCY,
                durationMs: SATURATION_MS,
            });
            print(`saturation: direct ${direct.toFixed(0)}/s, through entry and agent ${through.toFixed(0)}/s`);
            await measure(directUrl, through / 2, 0);
            await measure(throughUrl, through / 2, 0);
            const rounds = [];
            for (const seed of SEEDS) {
                const rate = through / 2;
                const directResult = await measure(directUrl, rate, seed);
                const throughResult = await measure(throughUrl, rate, seed);
                print(
                    `seed ${seed} at ${
                        rate.toFixed(0)
                    }/s: direct p50 ${directResult.total.p50} p99 ${directResult.total.p99}, through p50 ${throughResult.total.p50} p99 ${throughResult.total.p99} ms, wrong ${throughResult.wrong}, not run ${throughResult.notRun}, lost ${throughResult.lost}`,
                );
                rounds.push({ directResult, throughResult });
            }
            const addedMsP50 = computeMedian(
                rounds.map(round => round.throughResult.total.p50 - round.directResult.total.p50),
            );
            const addedMsP99 = computeMedian(
                rounds.map(round => round.throughResult.total.p99 - round.directResult.total.p99),
            );
            const mismatchedAnswers = rounds.reduce(
                (sum, round) => sum + round.throughResult.wrong + round.throughResult.lost,
                0,
            );
            const met = addedMsP99 <= MAX_ADDED_P99_MS && through >= MIN_REQUESTS_PER_SECOND && mismatchedAnswers === 0;
            return {
                met,
                addedMsP50,
                addedMsP99,
                throughputRatio: through / direct,
                requestsPerSecond: through,
                mismatchedAnswers,
            };
        }
        finally {
            await system.close();
        }
    },
});

function measure(url: string, ratePerSecond: number, seed: number): Promise<LoadResult> {
    const workload = { ratePerSecond, durationMs: LOAD_MS, seed, maxTokens: 4 };
    return runLoadInWorkers({
        urls: [url],
        key: DEMO_KEYS.cantora,
        model: "m",
        workload,
        workers: LOAD_WORKERS,
        connections: 192,
    });
}
