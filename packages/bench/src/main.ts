/** Entry point of `npm run bench -- NAME`. The last line of its output is the result as JSON. */
import { listBenches } from "@kumquathall/bench";
import "./configuration.js";
import "./endpointChoice.js";
import "./groups.js";
import "./ledger.js";
import "./limits.js";
import "./overhead.js";
import "./slopes.js";

const name = process.argv[2];
const bench = listBenches().find(item => item.name === name);
if (bench === undefined) {
    process.stderr.write(
        `usage: npm run bench -- NAME, where NAME is one of:\n${
            listBenches().map(item => `  ${item.name}: ${item.target}`).join("\n")
        }\n`,
    );
    process.exit(2);
}
process.stdout.write(`${bench.name}: target: ${bench.target}\n`);
const result = await bench.run(line => process.stdout.write(`${line}\n`));
process.stdout.write(`${JSON.stringify({ bench: bench.name, ...result })}\n`);
process.exit(result.met ? 0 : 1);
