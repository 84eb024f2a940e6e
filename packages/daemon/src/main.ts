#!/usr/bin/env node
/** Entry point of the kumquathalld binary. */
import { runDaemon } from "@kumquathall/daemon";
import { hideBin } from "yargs/helpers";

process.exit(await runDaemon(hideBin(process.argv)));
