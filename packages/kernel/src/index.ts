/** Process settings, role plug-ins, life cycle, health endpoints and graceful shutdown. */
export type { DaemonSettings } from "./daemonSettings.js";
export { createInputFaultLog, createLinkFaultHandler, type FactSelection, selectUsable } from "./inputFaults.js";
export { Kernel, type KernelOptions } from "./kernel.js";
export { createIdentity, type RoleContext, RolePlugin, type RunningRole } from "./plugin.js";
export { getRolePlugin, listRolePlugins, registerRolePlugin } from "./registry.js";
export { ADDRESS_LIST_SCHEMA, ADDRESS_SCHEMA } from "./schemas.js";
export { readSettings, SettingsError, validateSettings } from "./settings.js";
export { StartSteps } from "./startSteps.js";
