import { Then, When } from "@cucumber/cucumber";
import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { CATCH_UP_MS, type DurabilityOptions, DurabilitySimulation } from "./durabilitySimulation.js";

const TIMEOUT = { timeout: 300_000 };
/** Least number of acknowledgements with one seed that makes a run meaningful. */
const MIN_ACKNOWLEDGED = 20;

let violations: string[] = [];
let acknowledged: number[] = [];
let pausesMs: number[] = [];
/** For each seed, the losses before the final fault and the changes of members. */
let changes: { losses: number; memberChanges: number }[] = [];

async function runSeeds(
    vms: number,
    seconds: number,
    first: number,
    last: number,
    options: Partial<DurabilityOptions> = {},
): Promise<void> {
    violations = [];
    acknowledged = [];
    pausesMs = [];
    changes = [];
    for (let seed = first; seed <= last; seed++) {
        const result = await DurabilitySimulation.run({ seed, vms, durationMs: seconds * 1000, ...options });
        violations.push(...result.violations.map(text => `seed ${seed}: ${text}`));
        acknowledged.push(result.acknowledged);
        pausesMs.push(result.longestPauseMs);
        changes.push({ losses: result.disruptions.length, memberChanges: result.memberChanges });
    }
}

When(
    "operators publish to {int} control VMs for {int} s amid disruptions, with seeds {int} to {int}",
    TIMEOUT,
    (vms: number, seconds: number, first: number, last: number) => runSeeds(vms, seconds, first, last),
);

When(
    "operators publish to {int} control VMs for {int} s amid {string}, with seeds {int} to {int}",
    TIMEOUT,
    (vms: number, seconds: number, kind: string, first: number, last: number) =>
        runSeeds(vms, seconds, first, last, { kinds: [kind] }),
);

When(
    "operators publish to {int} control VMs for {int} s amid {string}, with seeds {int} to {int}, without {string}",
    TIMEOUT,
    (vms: number, seconds: number, kind: string, first: number, last: number, disabledGuard: string) =>
        runSeeds(vms, seconds, first, last, { kinds: [kind], disabledGuard }),
);

function checkViolations(): void {
    deepStrictEqual(violations, []);
    ok(acknowledged.every(count => count >= MIN_ACKNOWLEDGED), `acknowledged: ${acknowledged.join()}`);
}

Then(
    "nothing acknowledged is lost or shown in an older state, and no process ends for another reason than its disk",
    checkViolations,
);

Then(
    "nothing acknowledged is lost or shown in an older state, and each loss is made up for {int} s after the VM is back",
    (catchUpS: number) => {
        strictEqual(catchUpS * 1000, CATCH_UP_MS);
        checkViolations();
    },
);

When(
    "operators publish to {int} control VMs for {int} s amid {string}, with links that take {int} ms to set up and seeds {int} to {int}",
    TIMEOUT,
    (vms: number, seconds: number, kind: string, linkSetUpMs: number, first: number, last: number) =>
        runSeeds(vms, seconds, first, last, { kinds: [kind], linkSetUpMs, mustReplace: true }),
);

Then("members change at most once for each disk that is lost and once for each that takes its place", () => {
    // The final fault takes two disks, and counts as one disruption.
    const excess = changes.filter(({ losses, memberChanges }) => memberChanges > 2 * (losses + 1));
    deepStrictEqual(excess, []);
});

Then("no more than {int} ms pass without an acknowledgement", (most: number) => {
    ok(pausesMs.every(ms => ms <= most), `longest pauses: ${pausesMs.map(Math.round).join()} ms`);
});

Then("something acknowledged is lost or shown in an older state", () => ok(violations.length > 0));
