import { Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, ok } from "node:assert";
import { listCells } from "./cells.js";

const TIMEOUT = { timeout: 120_000 };

let failures: string[] = [];
let cellCount = 0;

async function runCells(operation: string | undefined, seed: number, disabledGuard: string | undefined): Promise<void> {
    failures = [];
    cellCount = 0;
    for (const cell of listCells()) {
        if (cell.impossible !== undefined || (operation !== undefined && cell.operation !== operation)) {
            continue;
        }
        cellCount++;
        const problem = await cell.run(seed, disabledGuard);
        if (problem !== undefined) {
            failures.push(`${cell.operation}: ${cell.fault}, ${cell.step}: ${problem}`);
        }
    }
}

When(
    "every cell of the matrix is run with seed {int}",
    TIMEOUT,
    (seed: number) => runCells(undefined, seed, undefined),
);

When(
    "the cells of {string} are run with seed {int} without {string}",
    TIMEOUT,
    (operation: string, seed: number, guard: string) => runCells(operation, seed, guard),
);

Then("none of more than {int} cells fails", (count: number) => {
    ok(cellCount > count, `only ${cellCount} cells ran`);
    deepStrictEqual(failures, []);
});

Then("at least one cell fails", () => {
    ok(failures.length > 0);
});
