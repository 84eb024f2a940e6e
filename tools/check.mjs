// Checks types, the import graph, platform names, format and lint.
import { spawnSync } from "node:child_process";
import "./build.mjs";

const root = new URL("..", import.meta.url).pathname;
const steps = [
    ["import graph", process.execPath, [`${root}tools/packages.mjs`, "--check"]],
    ["import cycles", process.execPath, [`${root}tools/circles.mjs`]],
    ["platform names", process.execPath, [`${root}tools/platformNames.mjs`]],
    ["format", process.execPath, [`${root}node_modules/dprint/bin.cjs`, "check"]],
    ["lint", process.execPath, [`${root}node_modules/eslint/bin/eslint.js`, "packages", "platform", "--max-warnings", "0"]],
];
let failed = 0;
for (const [name, command, args] of steps) {
    const result = spawnSync(command, args, { cwd: root, stdio: "inherit" });
    console.log(`${name}: ${result.status === 0 ? "clean" : "failed"}`);
    failed += result.status === 0 ? 0 : 1;
}
process.exit(failed === 0 ? 0 : 1);
