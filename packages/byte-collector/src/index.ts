export * from "./byteBudget.js";
export * from "./byteCollector.js";
export * from "./collectWithin.js";
