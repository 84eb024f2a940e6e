/** The daemon as a library. Importing this package registers the agent, control and entry roles. */
import "@kumquathall/agent";
import "@kumquathall/control";
import "@kumquathall/entry";
export { runDaemon } from "./runDaemon.js";
