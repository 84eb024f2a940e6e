import { Worker } from "node:worker_threads";
import { LatencyRecorder, type LatencySummary } from "./latency.js";
import type { LoadOptions, LoadResult } from "./runLoad.js";
import { buildWorkload, type WorkloadOptions } from "./workload.js";

/** Options of a load that is split across worker threads, so that the load generator does not limit the result. */
export interface WorkerLoadOptions extends Omit<LoadOptions, "requests"> {
    workload: WorkloadOptions;
    workers: number;
}

/** Runs a load in several worker threads, each with an equal share of the rate and its own seed. Merges the results. */
export async function runLoadInWorkers(options: WorkerLoadOptions): Promise<LoadResult> {
    const { workload, workers, ...target } = options;
    const shares = Array.from({ length: workers }, (_, index): LoadOptions => {
        const requests = buildWorkload({
            ...workload,
            ratePerSecond: workload.ratePerSecond / workers,
            seed: workload.seed * workers + index,
        });
        return { ...target, requests, connections: Math.ceil((target.connections ?? 128) / workers) };
    });
    return mergeResults(await Promise.all(shares.map(runWorker)));
}

function runWorker(options: LoadOptions): Promise<LoadResult> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL("./loadWorker.js", import.meta.url), { workerData: options });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

function mergeResults(results: LoadResult[]): LoadResult {
    const sum = (read: (result: LoadResult) => number) => results.reduce((total, result) => total + read(result), 0);
    const mergeHistograms = (read: (result: LoadResult) => string): LatencySummary => {
        const merged = new LatencyRecorder();
        results.forEach(result => merged.addEncoded(read(result)));
        return merged.describe();
    };
    const codes = new Map<string, number>();
    results.flatMap(result => result.codes).forEach(item =>
        codes.set(item.code, (codes.get(item.code) ?? 0) + item.count)
    );
    const seconds = Math.max(...results.map(result => result.completedPerSecond.length));
    return {
        sent: sum(result => result.sent),
        complete: sum(result => result.complete),
        notRun: sum(result => result.notRun),
        unknown: sum(result => result.unknown),
        wrong: sum(result => result.wrong),
        lost: sum(result => result.lost),
        codes: [...codes].map(([code, count]) => ({ code, count })),
        firstToken: mergeHistograms(result => result.histograms.firstToken),
        betweenTokens: mergeHistograms(result => result.histograms.betweenTokens),
        total: mergeHistograms(result => result.histograms.total),
        completedPerSecond: Array.from(
            { length: seconds },
            (_, second) => sum(result => result.completedPerSecond[second] ?? 0),
        ),
        ratePerSecond: sum(result => result.ratePerSecond),
        histograms: results[0].histograms,
    };
}
