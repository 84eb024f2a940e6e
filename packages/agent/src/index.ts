/** The agent role. Importing this package registers it with the kernel. */
export { AgentPlugin } from "./agentPlugin.js";
export { AgentRole } from "./agentRole.js";
export { type AgentSettings } from "./agentSettings.js";
export { decideStart, type StartDecision, type StartInput } from "./decideStart.js";
export { EngineClient, EngineError, type EngineResponse, type EngineState } from "./engineClient.js";
export { OutputBuffer } from "./outputBuffer.js";
export { RunManager, type RunManagerOptions } from "./runManager.js";
import { registerRolePlugin } from "@kumquathall/kernel";
import { AgentPlugin } from "./agentPlugin.js";

registerRolePlugin(new AgentPlugin());
