import { availableParallelism } from "node:os";
import { Worker } from "node:worker_threads";
import { listChecks, type ModelCheck } from "./checks.js";
import type { ExploreResult } from "./explore.js";

export interface ModelReport {
    passed: number;
    failed: number;
}

/** Result of one check, as its worker thread posts it. */
export interface CheckOutcome {
    result: ExploreResult;
    seconds: number;
}

/** Runs all checks whose name or mutant contains the filter, several at a time, and prints the results in order. */
export async function runModel(filter: string, print: (line: string) => void): Promise<ModelReport> {
    const report: ModelReport = { passed: 0, failed: 0 };
    const checks = listChecks();
    const selected = checks.map((_, index) => index).filter(index =>
        `${checks[index].name} ${checks[index].mutant ?? ""}`.includes(filter)
    );
    const outcomes = runInWorkers(selected);
    for (const index of selected) {
        const outcome = await outcomes.get(index);
        if (outcome !== undefined) {
            const isPassed = (outcome.result.violation === undefined) === (checks[index].mutant === undefined);
            report[isPassed ? "passed" : "failed"]++;
            printCheck(checks[index], outcome, isPassed, print);
        }
    }
    return report;
}

/** Runs the checks in worker threads, started in order, as many at a time as half the processors. */
function runInWorkers(selected: number[]): Map<number, Promise<CheckOutcome>> {
    const outcomes = new Map<number, Promise<CheckOutcome>>();
    const slots = Array.from(
        { length: Math.max(1, Math.floor(availableParallelism() / 2)) },
        (): Promise<unknown> => Promise.resolve(),
    );
    let nextFreeSlot = Promise.resolve(0);
    for (const check of selected) {
        const outcome = nextFreeSlot.then(slot => {
            const running = runWorker(check);
            slots[slot] = running;
            return running;
        });
        outcomes.set(check, outcome);
        // Start the next check once this one occupies its slot and any slot is free.
        nextFreeSlot = nextFreeSlot.then(() => Promise.race(slots.map((running, slot) => running.then(() => slot))));
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
        print(`    violated invariant: ${result.violation.invariant}: ${result.violation.detail}`);
        result.violation.trace.forEach((transition, index) => print(`    ${index + 1}. ${transition}`));
    }
    else if (!result.isExhaustive) {
        print("    stopped at the bound on states: the exploration is not exhaustive");
    }
}
