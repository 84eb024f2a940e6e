/** Registry of benches, and the statistics that they use. */
export { type Bench, type BenchResult, listBenches, registerBench } from "./registry.js";
export { computeFit, computeMedian, type LinearFit } from "./statistics.js";
