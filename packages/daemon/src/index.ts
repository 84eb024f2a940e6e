/** The daemon as a library: importing this package registers all roles. */
import "@kumquathall/agent";
import "@kumquathall/control";
import "@kumquathall/entry";
export { runDaemon } from "./runDaemon.js";
