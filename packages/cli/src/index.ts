/** The operators' command line as a library. */
export { ExitCode } from "./exitCode.js";
export { runCli } from "./runCli.js";
