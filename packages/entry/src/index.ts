/** The entry role. Importing this package registers it with the kernel. */
export { AccountIndex } from "./accountIndex.js";
export { AgentUpdateBuilder } from "./agentUpdate.js";
export { EntryPlugin } from "./entryPlugin.js";
export { type EntrySettings } from "./entrySettings.js";
export { PROBLEM_STATUS } from "./problemResponse.js";
export { findIdempotencyKey, findRequestRule } from "./requestRule.js";
export { type AttemptResult, type ResponseSink, RunAttempt, type RunAttemptOptions } from "./runAttempt.js";
import { registerRolePlugin } from "@kumquathall/kernel";
import { EntryPlugin } from "./entryPlugin.js";

registerRolePlugin(new EntryPlugin());
