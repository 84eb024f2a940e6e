/** Runs one stand-in engine in a separate process and prints its URL: `main.js '{"port":9000,"stepMs":0}'`. */
import { type EngineOptions, StandinEngine } from "@kumquathall/standin-engine";

const engine = await StandinEngine.listen(JSON.parse(process.argv[2] ?? "{}") as EngineOptions);
process.stdout.write(`${engine.getUrl()}\n`);
process.once("SIGTERM", () => void engine.close().then(() => process.exit(0)));
