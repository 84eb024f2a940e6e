/** Benches and what they share. */
export { type Bench, type BenchResult, listBenches, registerBench } from "./registry.js";
export { computeFit, computeMedian, type LinearFit } from "./statistics.js";
