#!/usr/bin/env node
/** Entry point of the kumquathall binary. */
import { runCli } from "@kumquathall/cli";
import { hideBin } from "yargs/helpers";

process.exit(await runCli(hideBin(process.argv)));
