// Installs, builds and starts the demonstration. `--once` stops it after one request of each kind.
import { spawn } from "node:child_process";
import "./build.mjs";

const main = new URL("../packages/quickstart/dist/main.js", import.meta.url).pathname;
const child = spawn(process.execPath, [main, ...process.argv.slice(2)], { stdio: "inherit" });
// The terminal sends the signal to both processes; the child decides when it is done.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => child.kill("SIGTERM"));
child.on("exit", code => process.exit(code ?? 1));
