/** Entry point of `npm run model [-- FILTER]`. Its last line is "N passed, N failed". */
import { runModel } from "@kumquathall/model";

const report = await runModel(process.argv[2] ?? "", line => process.stdout.write(`${line}\n`));
process.stdout.write(`${report.passed} passed, ${report.failed} failed\n`);
process.exit(report.failed === 0 ? 0 : 1);
