/** Entry point of `npm run quickstart`. */
import { runQuickstart } from "@kumquathall/quickstart";

process.exit(await runQuickstart({ isOnce: process.argv.includes("--once") }));
