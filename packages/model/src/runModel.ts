import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import { listChecks, type ModelCheck } from "./checks.js";
import type { ExploreResult } from "./explore.js";

export interface ModelReport {
    passed: number;
    failed: number;
}

/** What a worker gives back for one check. */
export interface CheckOutcome {
    result: ExploreResult;
    seconds: number;
}

/** Runs every exploration whose name or mutant contains the filter, some at a time, and prints what was found in order. */
export async function runModel(filter: string, print: (line: string) => void): Promise<ModelReport> {
    const report: ModelReport = { passed: 0, failed: 0 };
    const checks = listChecks();
    const wanted = checks.map((_, at) => at).filter(at =>
        `${checks[at].name} ${checks[at].mutant ?? ""}`.includes(filter)
    );
    const outcomes = runInWorkers(wanted);
    for (const at of wanted) {
        const outcome = await outcomes.get(at);
        if (outcome !== undefined) {
            const isPassed = (outcome.result.violation === undefined) === (checks[at].mutant === undefined);
            report[isPassed ? "passed" : "failed"]++;
            printCheck(checks[at], outcome, isPassed, print);
        }
    }
    return report;
}

/** Starts the checks in order on half of the processors. */
function runInWorkers(wanted: number[]): Map<number, Promise<CheckOutcome>> {
    const outcomes = new Map<number, Promise<CheckOutcome>>();
    const lanes = Array.from(
        { length: Math.max(1, Math.floor(availableParallelism() / 2)) },
        (): Promise<unknown> => Promise.resolve(),
    );
    let earliest = Promise.resolve(0);
    for (const check of wanted) {
        const outcome = earliest.then(lane => {
            const running = runWorker(check);
            lanes[lane] = running;
            return running;
        });
        outcomes.set(check, outcome);
        // The next check starts once this one has taken its lane and any lane is free.
        earliest = earliest.then(() => Promise.race(lanes.map((lane, at) => lane.then(() => at))));
    }
    return outcomes;
}

function runWorker(check: number): Promise<CheckOutcome> {
    return new Promise((resolve, reject) => {
        const worker = new Worker(new URL("./worker.js", import.meta.url), { workerData: { check } });
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

function printCheck(check: ModelCheck, outcome: CheckOutcome, isPassed: boolean, print: (line: string) => void): void {
    const { result, seconds } = outcome;
    const extent = result.isExhaustive ? `exhaustive to depth ${result.depth}` : `depth ${result.depth}`;
    const counts = `${result.states} states, ${result.transitions} transitions, ${extent}, ${seconds.toFixed(1)} s`;
    if (check.mutant === undefined) {
        print(`${isPassed ? "holds" : "BROKEN"}: ${check.name} (${check.bounds})`);
    }
    else {
        print(`${isPassed ? "caught" : "NOT CAUGHT"}: ${check.name} without ${check.mutant}`);
    }
    print(`    ${counts}`);
    if (result.violation !== undefined) {
        print(`    broken promise: ${result.violation.invariant}: ${result.violation.detail}`);
        result.violation.trace.forEach((move, at) => print(`    ${at + 1}. ${move}`));
    }
    else if (!result.isExhaustive) {
        print("    the bound on states ended the exploration: it is not exhaustive");
    }
}
