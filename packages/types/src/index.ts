/** Types that more than one package uses, without behaviour. */
export * from "./audit.js";
export * from "./command.js";
export * from "./configuration.js";
export * from "./consensusLog.js";
export * from "./crash.js";
export * from "./demand.js";
export * from "./endpoint.js";
export * from "./limit.js";
export * from "./message.js";
export * from "./outcome.js";
export * from "./service.js";
export * from "./traffic.js";
