/** Role that runs next to one engine: reports its state when it changes and forwards orders to it. */
export { EngineClient, EngineClientError, type EngineReport, EngineUnreachableError } from "./engineClient.js";
export { SidecarRole, type SidecarSettings } from "./sidecarRole.js";
