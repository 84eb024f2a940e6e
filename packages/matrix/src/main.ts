/** Entry point of `npm run matrix [-- --seeds A..B] [-- --page] [-- FILTER]`. Its last line is "N passed, N failed". */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { listCells } from "./cells.js";
import { type CellOutcome, renderFaultsPage } from "./faultsPage.js";

const argv = process.argv.slice(2);
const seedsAt = argv.indexOf("--seeds");
const [firstSeed, lastSeed] = seedsAt < 0 ? [1, 1] : argv[seedsAt + 1].split("..").map(Number);
const filter = argv.find((argument, index) => !argument.startsWith("--") && index !== seedsAt + 1) ?? "";
const outcomes: CellOutcome[] = [];
let passed = 0;
let failed = 0;
for (const cell of listCells()) {
    const name = `${cell.operation}: ${cell.fault}, ${cell.step}`;
    if (!name.includes(filter)) {
        continue;
    }
    let result = "holds";
    for (let seed = firstSeed; cell.impossible === undefined && seed <= (lastSeed ?? firstSeed); seed++) {
        const problem = await cell.run(seed);
        problem === undefined ? passed++ : failed++;
        if (problem !== undefined) {
            result = `FAILS: ${problem}`;
            process.stdout.write(`FAILED ${name}, seed ${seed}: ${problem}\n`);
        }
    }
    outcomes.push({ cell, result });
}
if (argv.includes("--page")) {
    writeFileSync(fileURLToPath(new URL("../../../docs/FAULTS.md", import.meta.url)), renderFaultsPage(outcomes));
}
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
