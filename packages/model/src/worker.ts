/** Worker thread that runs the check with a given index and posts its outcome. */
import { parentPort, workerData } from "node:worker_threads";
import { listChecks } from "./checks.js";

const { check } = workerData as { check: number };
const startedAt = performance.now();
const result = listChecks()[check].run();
parentPort?.postMessage({ result, seconds: (performance.now() - startedAt) / 1000 });
