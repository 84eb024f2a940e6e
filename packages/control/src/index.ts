/** The control role. Importing this package registers it with the kernel. */
export { ControlMachine } from "./controlMachine.js";
export { ControlPlugin, type ControlSettings } from "./controlPlugin.js";
export { decidePresence, type EntryReport, type PresenceInput, type PresenceOptions } from "./presence.js";
export { ShareTable } from "./shareTable.js";
import { registerRolePlugin } from "@kumquathall/kernel";
import { ControlPlugin } from "./controlPlugin.js";

registerRolePlugin(new ControlPlugin());
