import { CHOICE_POLICIES } from "./choicePolicies.js";
import { CHOICE_MIXES, type ChoiceSimulationResult, runChoiceSimulation } from "./choiceSimulation.js";
import { registerBench } from "./registry.js";

const GROUPS = 12;
const GATEWAYS = 12;
const UTILIZATION = 0.8;
const DURATION_MS = 60_000;
const SEEDS = [1, 2, 3];
/** Largest accepted p95 of short requests relative to that under least reported load, where a tenth have ten times the work. */
const MAX_RATIO = 0.5;
const NAME_WIDTH = 20;

registerBench({
    name: "endpoint-choice",
    target: "with a long tenth, the p95 of short requests is at most half of that under least reported load",
    run: print => {
        const shortP95 = new Map<string, number>();
        for (const mix of Object.keys(CHOICE_MIXES)) {
            print(`${mix}: first events and errors of their predictions in ms, means of ${SEEDS.length} seeds`);
            print(
                `  ${
                    "policy".padEnd(NAME_WIDTH)
                }  all p50  short p50  short p95  long p95  paused %  bias ms  error ms`,
            );
            for (const policy of Object.keys(CHOICE_POLICIES)) {
                const results = SEEDS.map(seed =>
                    runChoiceSimulation({
                        policy,
                        mix,
                        seed,
                        groups: GROUPS,
                        gateways: GATEWAYS,
                        utilization: UTILIZATION,
                        durationMs: DURATION_MS,
                    })
                );
                const mean = (pick: (result: ChoiceSimulationResult) => number) =>
                    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
                shortP95.set(`${mix}/${policy}`, mean(result => result.shortP95));
                print([
                    `  ${policy.padEnd(NAME_WIDTH)}`,
                    mean(result => result.allP50).toFixed(0).padStart(7),
                    mean(result => result.shortP50).toFixed(0).padStart(9),
                    mean(result => result.shortP95).toFixed(0).padStart(9),
                    mean(result => result.longP95).toFixed(0).padStart(8),
                    (100 * mean(result => result.pausedFraction)).toFixed(1).padStart(8),
                    mean(result => result.biasMs).toFixed(0).padStart(7),
                    mean(result => result.errorMs).toFixed(0).padStart(8),
                ].join("  "));
            }
        }
        const ratio = (shortP95.get("long tenth/expected work") ?? Number.NaN)
            / (shortP95.get("long tenth/least reported load") ?? Number.NaN);
        return Promise.resolve({ met: ratio <= MAX_RATIO, ratio });
    },
});
