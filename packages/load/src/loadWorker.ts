/** Runs one share of a load in a worker thread. */
import { parentPort, workerData } from "node:worker_threads";
import { type LoadOptions, runLoad } from "./runLoad.js";

parentPort?.postMessage(await runLoad(workerData as LoadOptions));
