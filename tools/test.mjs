// Usage: node tools/test.mjs [TAGS]. Builds and runs the scenarios and, without TAGS, the soak test. The last line is
// "N passed, N failed".
// Scenarios in real time (realTime) run in a separate process, since others replace the timers of their process.
// Scenarios whose tag KNOWN-RED.txt lists as a known failure run and are printed, but do not count.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import "./build.mjs";

const root = new URL("..", import.meta.url).pathname;
const knownRed = existsSync(`${root}KNOWN-RED.txt`)
    ? [...readFileSync(`${root}KNOWN-RED.txt`, "utf8").matchAll(/^test: (@[\w-]+)/gm)].map(match => match[1])
    : [];
const cucumber = `${root}node_modules/@cucumber/cucumber/bin/cucumber.js`;

function runScenarios(tags) {
    const result = spawnSync(process.execPath, [cucumber, "--tags", tags], { cwd: root, encoding: "utf8", maxBuffer: 2 ** 28 });
    process.stdout.write(result.stdout + result.stderr);
    const counts = /^\d+ scenarios? \((.*)\)$/m.exec(result.stdout)?.[1] ?? "";
    const read = word => Number(new RegExp(`(\\d+) ${word}`).exec(counts)?.[1] ?? 0);
    const passed = read("passed");
    const failed = read("failed") + read("undefined") + read("ambiguous") + read("pending") + read("skipped");
    return { passed, failed, isClean: result.status === 0 };
}

/** Runs the soak test with one seed and a few seconds of faults, on separate processes of the bundled daemon. */
function runSoak() {
    const run = script => spawnSync(process.execPath, script, { cwd: root, encoding: "utf8" });
    const bundle = run(["tools/bundle.mjs"]);
    const result = run(["platform/dist/testing/soak/main.js", "--seed", "1", "--minutes", "0.1"]);
    process.stdout.write(bundle.stderr + result.stdout + result.stderr);
    const isClean = bundle.status === 0 && result.status === 0;
    return { passed: isClean ? 1 : 0, failed: isClean ? 0 : 1, isClean };
}

const wanted = process.argv[2] ?? "";
const realTime = "@whole-path or @platform-path or @endpoint-pool or @control-directory or @engine-http or @quarantine or @endpoint-limit-path or @endpoint-notice-path or @evacuation-path or @late-orders or @added-controls or @link or @agent-endless-answer";
const groups = wanted === "" ? [realTime, `not (${realTime})`] : [wanted];
const results = groups.map(group => runScenarios([`(${group})`, ...knownRed.map(tag => `not ${tag}`)].join(" and ")));
if (knownRed.length > 0) {
    console.log(`known red, passed over: ${knownRed.join(", ")}`);
    runScenarios(knownRed.join(" or "));
}
if (wanted === "") {
    results.push(runSoak());
}
const passed = results.reduce((sum, result) => sum + result.passed, 0);
const failed = results.reduce((sum, result) => sum + result.failed, 0);
console.log(`${passed} passed, ${failed} failed`);
process.exit(results.every(result => result.isClean) && passed > 0 ? 0 : 1);
