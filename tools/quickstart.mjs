// Installs, builds and starts the demonstration. `--once` stops it after one request of each kind; `--platform` runs
// the demonstration of the platform adapter with a stand-in deployment.
import { spawn } from "node:child_process";

console.log("installing and building what has changed; the first run takes about a minute");
await import("./build.mjs");

const program = process.argv.includes("--platform") ? "../platform/dist/quickstart.js" : "../packages/quickstart/dist/main.js";
const main = new URL(program, import.meta.url).pathname;
const child = spawn(process.execPath, [main, ...process.argv.slice(2)], { stdio: "inherit" });
// The terminal sends SIGINT to both processes: this one ignores it and exits when the child has exited.
process.on("SIGINT", () => undefined);
process.on("SIGTERM", () => child.kill("SIGTERM"));
child.on("exit", code => process.exit(code ?? 1));
