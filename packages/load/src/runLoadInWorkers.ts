import { Worker } from "node:worker_threads";
import { LatencyRecorder, type LatencySummary } from "./latency.js";
import type { LoadOptions, LoadResult } from "./runLoad.js";
import { buildWorkload, type WorkloadOptions } from "./workload.js";

/** A load whose sending and checking is spread over threads, so that the tool is not what is measured. */
export interface WorkerLoadOptions extends Omit<LoadOptions, "requests"> {
    workload: WorkloadOptions;
    workers: number;
}

/** Runs one load in several threads, each with its share of the rate and a seed of its own, and merges what they saw. */
export async function runLoadInWorkers(options: WorkerLoadOptions): Promise<LoadResult> {
    const { workload, workers, ...target } = options;
    const shares = Array.from({ length: workers }, (_, at): LoadOptions => {
        const requests = buildWorkload({
            ...workload,
            ratePerSecond: workload.ratePerSecond / workers,
            seed: workload.seed * workers + at,
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
    const merge = (read: (result: LoadResult) => string): LatencySummary => {
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
        firstToken: merge(result => result.histograms.firstToken),
        betweenTokens: merge(result => result.histograms.betweenTokens),
        total: merge(result => result.histograms.total),
        completedPerSecond: Array.from(
            { length: seconds },
            (_, at) => sum(result => result.completedPerSecond[at] ?? 0),
        ),
        ratePerSecond: sum(result => result.ratePerSecond),
        histograms: results[0].histograms,
    };
}
